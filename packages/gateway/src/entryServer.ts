import { once } from 'node:events';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { ResultCode, resultName } from '@burdockrail/common/resultCode.js';
import { timerDelay } from '@burdockrail/common/timerDelay.js';
import type { RequestTraits } from '@burdockrail/limits/quarantineState.js';
import { createChangeSignal } from './changeSignal.js';
import { createCallerAnswer } from './callerAnswer.js';
import { createCallerConnections } from './callerConnections.js';
import { admitRequest, drainingRefusal, isRefusal, type Refusal } from './entryAdmission.js';
import { BodyTooLarge, digestRequest, readBody } from './entryBody.js';
import type { EntryContext } from './entryContext.js';
import { createEntryRequestLog, type RequestMetadata } from './entryRequestLog.js';
import type { EntrySlots } from './entrySlots.js';
import { runBuffered } from './entryBuffered.js';
import { forwardedHeaders, type EntryRequest, type RequestTrace } from './entryRequest.js';
import { refusalOfQuarantined } from './entryQuarantine.js';
import { runStream } from './entryStream.js';
import type { EntrySettings } from './gatewaySettings.js';

/** Fraction of the revocation time after which unconfirmed keys are rejected. */
const KEY_AGE_FRACTION = 0.85;

/** Maximum time for which a request waits for a confirmed configuration, in milliseconds. */
const FIRST_CONFIRMATION_WAIT_MILLISECONDS = 400;

/**
 * Time after process start in which requests wait for a confirmed configuration, in milliseconds:
 * a control group that lost power has a leader by then, and later the delay is unpredictable.
 */
const STARTUP_MILLISECONDS = 2_000;

/** Limits in force until the first configuration arrives. */
const DEFAULT_LIMITS = {
  headerBytes: 16_384,
  bodyBytes: 4_194_304,
  headerTimeoutMilliseconds: 3_000,
  idleTimeoutMilliseconds: 15_000,
};

/** HTTP server for callers' requests. */
export interface EntryServer extends AsyncDisposable {
  /** Sends `Connection: close` with every answer from now on. */
  announceShutdown(): void;
  /** Applies the limits of the configuration in force. */
  applyLimits(): void;
  /** Lets requests that wait for a confirmed configuration look again. */
  notifyClusterChange(): void;
  /** Number of requests whose answer has not been written completely. */
  readonly inProgress: number;
  /**
   * Stops accepting connections, closes each one once it is idle, and refuses new requests, which
   * might not end within the grace period.
   */
  stopListening(): void;
}

async function countConnections(server: Server): Promise<number> {
  return new Promise((resolve, reject) => {
    server.getConnections((error, count) => {
      if (error === null) resolve(count);
      else reject(error);
    });
  });
}

/** Starts the server; resolves when it is listening. */
export async function startEntryServer(
  entry: EntryContext,
  settings: EntrySettings,
  slots: EntrySlots,
): Promise<EntryServer> {
  const { dialect, time, clusterView, log, random, quarantine, retryBudget } = entry;
  const requestLog = createEntryRequestLog(entry);
  const startedAt = time.now();
  const clusterSignal = createChangeSignal();
  const connections = createCallerConnections();
  let isClosing = false;
  let hasStopped = false;
  let inProgress = 0;
  const maximumKeyAgeMilliseconds = entry.settings.bounds.revocationMilliseconds * KEY_AGE_FRACTION;

  const limits = (): typeof DEFAULT_LIMITS =>
    clusterView.table?.configuration.limits ?? DEFAULT_LIMITS;

  const isConfirmed = (): boolean =>
    clusterView.table !== null && time.now() - clusterView.confirmedAt <= maximumKeyAgeMilliseconds;

  /** Waits until a configuration has arrived and keys can be confirmed, for a bounded time. */
  const waitForConfirmation = async (signal: AbortSignal): Promise<void> => {
    const deadline = time.now() + FIRST_CONFIRMATION_WAIT_MILLISECONDS;
    while (!isConfirmed() && time.now() < deadline && !signal.aborted)
      await clusterSignal.wait(deadline - time.now(), signal);
  };

  const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const arrivedAt = time.now();
    const arrivedTooLate = hasStopped;
    const answer = createCallerAnswer(response, dialect, () => isClosing);
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
      const body = await readBody(request, limits().bodyBytes);
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
        timerDelay(deadline - time.now()),
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

  const server: Server = createServer(
    { maxHeaderSize: DEFAULT_LIMITS.headerBytes, keepAlive: true, noDelay: true },
    (request, response) => {
      inProgress += 1;
      const { socket } = request;
      connections.requestStarted(socket);
      response.once('finish', () => {
        connections.requestFinished(socket);
      });
      const closed = new Promise<void>((resolve) => {
        response.once('close', resolve);
      });
      void Promise.all([handle(request, response), closed]).finally(() => {
        inProgress -= 1;
      });
    },
  );
  const applyLimits = (): void => {
    const { headerTimeoutMilliseconds, idleTimeoutMilliseconds } = limits();
    server.keepAliveTimeout = timerDelay(idleTimeoutMilliseconds);
    server.headersTimeout = timerDelay(headerTimeoutMilliseconds);
    server.requestTimeout = 0;
  };
  applyLimits();
  // When it closes, Node 20 would cut off answers that have ended but are not yet written.
  server.closeIdleConnections = () => undefined;
  server.on('connection', (socket: Socket) => {
    connections.add(socket);
  });
  server.listen(settings.listen.port, settings.listen.host, 1_024);
  await once(server, 'listening');
  return {
    announceShutdown: () => {
      isClosing = true;
    },
    applyLimits,
    notifyClusterChange: () => {
      clusterSignal.notify();
    },
    get inProgress() {
      return inProgress;
    },
    stopListening: () => {
      hasStopped = true;
      server.close();
      connections.closeWhenIdle();
    },
    [Symbol.asyncDispose]: async () => {
      const closed = once(server, 'close');
      // A server that has stopped listening emits `close` only if connections are still open.
      if (server.listening) server.close();
      else if ((await countConnections(server)) === 0) return;
      server.closeAllConnections();
      await closed;
    },
  };
}
