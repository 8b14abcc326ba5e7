import { ResultCode, resultName } from '@burdockrail/common/resultCode.js';
import { timerDelay } from '@burdockrail/common/timerDelay.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { readClientBody, type BodyFailure } from '@burdockrail/ingress/clientBody.js';
import type { ClientExchange } from '@burdockrail/ingress/clientServer.js';
import { createRequestDurations } from '@burdockrail/limits/requestDurations.js';
import type { RequestTraits } from '@burdockrail/limits/quarantineState.js';
import { expectedDurationMilliseconds } from '@burdockrail/limits/slotRequest.js';
import { createCallerAnswer } from './callerAnswer.js';
import type { ChangeSignal } from './changeSignal.js';
import type { CallerHeaders } from './dialect.js';
import { admitRequest, isRefusal, type AdmittedRequest, type Refusal } from './entryAdmission.js';
import { digestRequest, promptTrait } from './entryDigest.js';
import { runBuffered } from './entryBuffered.js';
import type { EntryContext } from './entryContext.js';
import type { EntryExchanges, OpenExchange } from './entryExchanges.js';
import { expectedAnswerTokens } from './expectedAnswer.js';
import { limitsInForce } from './entryLimits.js';
import { refusalOfQuarantined } from './entryQuarantine.js';
import { forwardedHeaders, type EntryRequest, type RequestTrace } from './entryRequest.js';
import { createEntryRequestLog, type RequestMetadata } from './entryRequestLog.js';
import type { EntrySlots } from './entrySlots.js';
import { runStream } from './entryStream.js';

/** Fraction of the revocation time after which unconfirmed keys are rejected. */
const KEY_AGE_FRACTION = 0.85;

/** Maximum time for which a request waits for a confirmed configuration, in milliseconds. */
const FIRST_CONFIRMATION_WAIT_MILLISECONDS = 400;

/**
 * Time after process start in which requests wait for a confirmed configuration, in milliseconds:
 * a control group that lost power has a leader by then, and later the delay is unpredictable.
 */
const STARTUP_MILLISECONDS = 2_000;

/**
 * Fraction of a route's requests that end within the time expected of another one; all of them if it
 * can't be repeated.
 */
const USUAL_FRACTION = 0.9;

/**
 * Handles the request of a caller; resolves when its answer has been given to the connection.
 *
 * @param endsConnection - called when the answer begins; tells whether it ends the connection.
 */
export type EntryHandler = (
  exchange: ClientExchange,
  endsConnection: () => boolean,
) => Promise<void>;

/**
 * Time after which a caller that had no room may try again, in milliseconds: what stalled callers
 * hold is free by then.
 */
const NO_MEMORY_RETRY_AFTER_MILLISECONDS = 400;

/** Refusals of requests whose body was not read. */
const bodyRefusals: Readonly<Record<Exclude<BodyFailure, 'aborted'>, Refusal>> = {
  tooLarge: {
    code: ResultCode.BodyTooLarge,
    detail: 'the request body is too large',
    retryAfterMilliseconds: null,
  },
  noMemory: {
    code: ResultCode.Overloaded,
    detail: 'callers send more than this entry can hold',
    retryAfterMilliseconds: NO_MEMORY_RETRY_AFTER_MILLISECONDS,
  },
};

const emptyTrace = (): RequestTrace => ({
  attempts: 0,
  upstreams: [],
  firstByteMilliseconds: null,
  longestPauseMilliseconds: 0,
  cause: '',
});

const emptyMetadata = { route: '', team: '', objective: null, callerLeft: false } as const;

/** What the server tells the handler of requests. */
export interface EntryServerState {
  /** Changes with the cluster view. */
  readonly clusterSignal: Pick<ChangeSignal, 'wait'>;
  readonly exchanges: EntryExchanges;
}

/** Creates the handler of callers' requests. */
export function createEntryHandler(
  entry: EntryContext,
  slots: EntrySlots,
  server: EntryServerState,
): EntryHandler {
  const { dialect, time, clusterView, log, random, quarantine, retryBudget } = entry;
  const { exchanges } = server;
  const requestLog = createEntryRequestLog(entry);
  const durations = createRequestDurations();
  const startedAt = time.now();
  const maximumKeyAgeMilliseconds = entry.settings.bounds.revocationMilliseconds * KEY_AGE_FRACTION;

  /** Time that a request is expected to take, at most until its deadline, in milliseconds. */
  const expectedMilliseconds = (
    { route, service, deadline }: AdmittedRequest,
    caller: CallerHeaders,
    now: Milliseconds,
  ): Milliseconds => {
    const engine = clusterView.table?.service(service)?.engine ?? null;
    const fraction = route.kind === 'once' ? 1 : USUAL_FRACTION;
    const lastingMilliseconds =
      engine === null
        ? durations.withinMilliseconds(route.name, fraction)
        : expectedDurationMilliseconds(
            {
              promptTokens: caller.promptTokens,
              answerTokens: expectedAnswerTokens(caller, engine.usualAnswer),
            },
            engine,
          );
    return Math.min(deadline - now, lastingMilliseconds ?? Number.POSITIVE_INFINITY);
  };

  const isConfirmed = (): boolean =>
    clusterView.table !== null && time.now() - clusterView.confirmedAt <= maximumKeyAgeMilliseconds;

  /** Waits until a configuration has arrived and keys can be confirmed, for a bounded time. */
  const waitForConfirmation = async (signal: AbortSignal): Promise<void> => {
    const deadline = time.now() + FIRST_CONFIRMATION_WAIT_MILLISECONDS;
    while (!isConfirmed() && time.now() < deadline && !signal.aborted)
      await server.clusterSignal.wait(deadline - time.now(), signal);
  };

  /** Refuses a request whose head alone is too much; its headers are not looked at. */
  const refuseUnread = (client: ClientExchange): void => {
    const { response, request } = client;
    const answer = createCallerAnswer(response, dialect, client.endsInput, () => undefined);
    const cause = bodyRefusals.noMemory.detail;
    answer.refuse(bodyRefusals.noMemory);
    const trace = { ...emptyTrace(), cause };
    const metadata = { ...emptyMetadata, arrivedAt: time.now() };
    requestLog.record(null, request.url ?? '', answer, trace, metadata);
  };

  return async (client, endsConnection) => {
    if (!client.hasMemory) {
      refuseUnread(client);
      return;
    }
    const { request, response } = client;
    const arrivedAt = time.now();
    const answer = createCallerAnswer(
      response,
      dialect,
      () => client.endsInput() || endsConnection(),
      client.answerHeld,
    );
    const caller = dialect.readCaller(request.headers);
    const trace = emptyTrace();
    const cancellation = new AbortController();
    const exchange: OpenExchange = { answer, trace, cancellation };
    const close = exchanges.open(exchange);
    const metadata: RequestMetadata = { ...emptyMetadata, arrivedAt };
    response.once('close', () => {
      if (answer.state === 'open') {
        metadata.callerLeft = true;
        cancellation.abort();
      }
    });
    const refuse = (refusal: Refusal): void => {
      trace.cause = `${resultName(refusal.code)}: ${refusal.detail}`;
      answer.refuse(refusal);
    };
    try {
      if (!isConfirmed() && arrivedAt - startedAt < STARTUP_MILLISECONDS)
        await waitForConfirmation(cancellation.signal);
      const decision = admitRequest(
        {
          table: clusterView.table,
          confirmedAt: clusterView.confirmedAt,
          maximumKeyAgeMilliseconds,
          host: request.headers.host ?? '',
          target: request.url ?? '/',
          key: caller.key,
          requestId: caller.requestId,
          deadlineMilliseconds: caller.deadlineMilliseconds,
          arrivedAt,
          randomDraw: random.next(),
        },
        time.now(),
      );
      const { bodyBytes, headerTimeoutMilliseconds } = limitsInForce(clusterView);
      const bodyDueAt = isRefusal(decision)
        ? arrivedAt + headerTimeoutMilliseconds
        : decision.deadline;
      const bodyTimer = setTimeout(
        () => {
          const late = { code: ResultCode.DeadlineExceeded, retryAfterMilliseconds: null };
          refuse(
            isRefusal(decision) ? decision : { ...late, detail: 'the body did not arrive in time' },
          );
          cancellation.abort();
        },
        timerDelay(Math.max(0, bodyDueAt - time.now())),
      );
      const read = await readClientBody(client, isRefusal(decision) ? 0 : bodyBytes);
      clearTimeout(bodyTimer);
      if (read.kind === 'aborted') return;
      if (isRefusal(decision)) {
        refuse(decision);
        return;
      }
      if (read.kind !== 'whole') {
        refuse(bodyRefusals[read.kind]);
        return;
      }
      const body = read.bytes;
      const { route, service, team, deadline } = decision;
      metadata.route = route.name;
      metadata.objective = route.objectiveMilliseconds;
      metadata.team = team?.name ?? '';
      const traits: RequestTraits = {
        content: digestRequest(caller.key, request, body),
        parts: caller.sharedParts.map((part) => promptTrait(caller.model, part)),
      };
      const quarantineRefusal = refusalOfQuarantined(quarantine, traits, time.now());
      if (quarantineRefusal !== null) {
        refuse(quarantineRefusal);
        return;
      }
      const beginRefusal = exchanges.begin(
        exchange,
        expectedMilliseconds(decision, caller, time.now()),
      );
      if (beginRefusal !== null) {
        refuse(beginRefusal);
        return;
      }
      retryBudget.recordRequest(service, arrivedAt);
      const timer = setTimeout(
        () => {
          if (answer.state !== 'open') return;
          trace.cause = 'deadline';
          cancellation.abort();
          if (answer.headersSent) answer.destroyConnection();
          else
            refuse({
              code: ResultCode.DeadlineExceeded,
              detail: 'no answer before the deadline',
              retryAfterMilliseconds: null,
            });
        },
        timerDelay(deadline - time.now()),
      );
      const entryRequest: EntryRequest = {
        id: caller.requestId ?? '',
        method: request.method ?? 'GET',
        target: request.url ?? '/',
        headers: forwardedHeaders(request, dialect),
        body,
        caller,
        admitted: {
          ...decision,
          get deadline() {
            return Math.min(deadline, exchanges.endsAt);
          },
        },
        arrivedAt,
        elapsedMilliseconds: entry.callerElapsed.estimateElapsedMilliseconds(
          route.name,
          caller.deadlineMilliseconds,
        ),
        traits,
        answer,
        signal: cancellation.signal,
        trace,
      };
      try {
        if (route.kind === 'stream') await runStream(entry, slots, entryRequest);
        else await runBuffered(entry, entryRequest);
      } finally {
        clearTimeout(timer);
      }
    } catch (error) {
      if (!cancellation.signal.aborted) {
        log.write('requestFailed', { request: caller.requestId, reason: String(error) });
        trace.cause = 'internal';
        if (answer.headersSent) answer.destroyConnection();
        else
          refuse({
            code: ResultCode.InternalError,
            detail: 'internal',
            retryAfterMilliseconds: null,
          });
      }
    } finally {
      close();
      if (answer.state === 'whole' && trace.attempts > 0)
        durations.record(metadata.route, time.now() - arrivedAt);
      requestLog.record(caller.requestId, request.url ?? '', answer, trace, metadata);
    }
  };
}
