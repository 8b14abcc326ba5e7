import type { IncomingMessage, ServerResponse } from 'node:http';
import { ResultCode, resultName } from '@burdockrail/common/resultCode.js';
import type { RequestTraits } from '@burdockrail/limits/quarantineState.js';
import { createCallerAnswer } from './callerAnswer.js';
import type { ChangeSignal } from './changeSignal.js';
import { admitRequest, drainingRefusal, isRefusal, type Refusal } from './entryAdmission.js';
import { BodyTooLarge, digestRequest, readBody } from './entryBody.js';
import { runBuffered } from './entryBuffered.js';
import type { EntryContext } from './entryContext.js';
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

/** Handles the request of a caller; resolves when its answer has been given to the connection. */
export type EntryHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

/** What the server tells the handler of requests. */
export interface EntryServerState {
  /** Changes with the cluster view. */
  readonly clusterSignal: Pick<ChangeSignal, 'wait'>;
  /** True once answers end their connections. */
  readonly isClosing: boolean;
  /** True once new requests are refused. */
  readonly hasStopped: boolean;
}

/** Creates the handler of callers' requests. */
export function createEntryHandler(
  entry: EntryContext,
  slots: EntrySlots,
  server: EntryServerState,
): EntryHandler {
  const { dialect, time, clusterView, log, random, quarantine, retryBudget } = entry;
  const requestLog = createEntryRequestLog(entry);
  const startedAt = time.now();
  const maximumKeyAgeMilliseconds = entry.settings.bounds.revocationMilliseconds * KEY_AGE_FRACTION;

  const isConfirmed = (): boolean =>
    clusterView.table !== null && time.now() - clusterView.confirmedAt <= maximumKeyAgeMilliseconds;

  /** Waits until a configuration has arrived and keys can be confirmed, for a bounded time. */
  const waitForConfirmation = async (signal: AbortSignal): Promise<void> => {
    const deadline = time.now() + FIRST_CONFIRMATION_WAIT_MILLISECONDS;
    while (!isConfirmed() && time.now() < deadline && !signal.aborted)
      await server.clusterSignal.wait(deadline - time.now(), signal);
  };

  return async (request, response) => {
    const arrivedAt = time.now();
    const arrivedTooLate = server.hasStopped;
    const answer = createCallerAnswer(response, dialect, () => server.isClosing);
    const caller = dialect.readCaller(request.headers);
    const trace: RequestTrace = {
      attempts: 0,
      upstreams: [],
      firstByteMilliseconds: null,
      longestPauseMilliseconds: 0,
      cause: '',
    };
    const cancellation = new AbortController();
    const metadata: RequestMetadata = {
      arrivedAt,
      route: '',
      team: '',
      objective: null,
      callerLeft: false,
    };
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
      const body = await readBody(request, limitsInForce(clusterView).bodyBytes);
      if (arrivedTooLate) {
        refuse(drainingRefusal);
        return;
      }
      if (isRefusal(decision)) {
        refuse(decision);
        return;
      }
      const { route, service, team, deadline } = decision;
      metadata.route = route.name;
      metadata.objective = route.objectiveMilliseconds;
      metadata.team = team?.name ?? '';
      const traits: RequestTraits = {
        content: digestRequest(caller.key, request, body),
        parts: caller.sharedParts.map((part) => `${caller.model} ${part}`),
      };
      const quarantineRefusal = refusalOfQuarantined(quarantine, traits, time.now());
      if (quarantineRefusal !== null) {
        refuse(quarantineRefusal);
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
        Math.max(0, deadline - time.now()),
      );
      const entryRequest: EntryRequest = {
        id: caller.requestId ?? '',
        method: request.method ?? 'GET',
        target: request.url ?? '/',
        headers: forwardedHeaders(request, dialect),
        body,
        caller,
        admitted: decision,
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
      if (error instanceof BodyTooLarge) {
        refuse({
          code: ResultCode.BodyTooLarge,
          detail: 'the request body is too large',
          retryAfterMilliseconds: null,
        });
      } else if (!cancellation.signal.aborted) {
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
      requestLog.record(caller.requestId, request.url ?? '', answer, trace, metadata);
    }
  };
}
