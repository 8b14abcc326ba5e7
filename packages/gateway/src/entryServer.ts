import { createHash } from 'node:crypto';
import { once } from 'node:events';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { ResultCode, resultName } from '@burdockrail/common/resultCode.js';
import { createChangeSignal } from './changeSignal.js';
import { createCallerAnswer, type CallerAnswer } from './callerAnswer.js';
import { admitRequest, isRefusal, type Refusal } from './entryAdmission.js';
import type { EntryContext } from './entryContext.js';
import type { EntryPlaces } from './entryPlaces.js';
import { runPlain } from './entryPlain.js';
import { forwardedHeaders, type EntryRequest, type RequestTrace } from './entryRequest.js';
import { runStream } from './entryStream.js';
import type { EntrySettings } from './gatewaySettings.js';

/** Share of the time for revocation after which unconfirmed keys are not believed. */
const KEY_BOUND_SHARE = 0.85;

/** Time for which a request waits for an entry's first configuration, in milliseconds. */
const FIRST_TABLE_MILLISECONDS = 400;

/**
 * Time after the start in which requests wait for it, in milliseconds: a group that lost power has a
 * leader by then, and later nobody can tell when one will come.
 */
const STARTING_MILLISECONDS = 2_000;

/** Bounds before the first configuration, in bytes and milliseconds. */
const FIRST_LIMITS = {
  headerBytes: 16_384,
  bodyBytes: 4_194_304,
  headerTimeoutMilliseconds: 3_000,
  idleTimeoutMilliseconds: 15_000,
};

/** Takes callers' requests. */
export interface EntryServer extends AsyncDisposable {
  /** Lets callers know that they should use other connections. */
  startClosing(): void;
  /** Takes the limits of the configuration in force. */
  applyLimits(): void;
  /** Requests that have not had their final answer. */
  readonly inProgress: number;
  /** Takes no further connections; those without a request are closed. */
  stopListening(): void;
}

class BodyTooLarge extends Error {}

async function readBody(request: IncomingMessage, limit: number): Promise<Buffer | null> {
  const { method, headers } = request;
  const hasBody =
    headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
  if (!hasBody) return null;
  const parts: Buffer[] = [];
  let size = 0;
  for await (const part of request) {
    const bytes = part as Buffer;
    size += bytes.length;
    if (size > limit) throw new BodyTooLarge(method);
    parts.push(bytes);
  }
  return Buffer.concat(parts, size);
}

function contentDigest(key: string | null, request: IncomingMessage, body: Buffer | null): string {
  const digest = createHash('sha256')
    .update(
      `${key ?? ''}\n${request.method ?? ''}\n${request.headers.host ?? ''}${request.url ?? ''}\n`,
    )
    .update(body ?? '');
  return digest.digest('base64').slice(0, 22);
}

async function connectionsOf(server: Server): Promise<number> {
  return new Promise((resolve, reject) => {
    server.getConnections((error, count) => {
      if (error === null) resolve(count);
      else reject(error);
    });
  });
}

/** Starts to listen for callers. */
export async function startEntryServer(
  entry: EntryContext,
  settings: EntrySettings,
  places: EntryPlaces,
): Promise<EntryServer> {
  const { dialect, time, beliefs, log, metrics, random, quarantine, retries } = entry;
  const histograms = metrics.histogram('burdockrail_request_seconds');
  const firstEvents = metrics.histogram('burdockrail_first_event_seconds');
  const startedAt = time.now();
  const tables = createChangeSignal();
  let closing = false;
  let inProgress = 0;
  const keyBound = entry.settings.bounds.revocationMilliseconds * KEY_BOUND_SHARE;

  const limits = (): typeof FIRST_LIMITS => beliefs.table?.configuration.limits ?? FIRST_LIMITS;

  const report = (
    request: IncomingMessage,
    id: string | null,
    answer: CallerAnswer,
    trace: RequestTrace,
    facts: {
      readonly arrivedAt: number;
      readonly route: string;
      readonly team: string;
      readonly left: boolean;
    },
  ): void => {
    const now = time.now();
    const total = now - facts.arrivedAt;
    const labels = { team: facts.team, class: facts.route };
    histograms.record(labels, total);
    if (trace.firstMilliseconds !== null) firstEvents.record(labels, trace.firstMilliseconds);
    const outcome = facts.left ? 'callerLeft' : answer.end;
    metrics.count('burdockrail_requests_total', {
      route: facts.route,
      status: String(answer.status),
      outcome,
    });
    log.write('requestEnded', {
      request: id,
      route: facts.route,
      team: facts.team,
      status: answer.status,
      outcome,
      cause: trace.cause,
      attempts: trace.attempts,
      upstreams: trace.upstreams.join(','),
      first: trace.firstMilliseconds === null ? null : Math.round(trace.firstMilliseconds),
      milliseconds: Math.round(total),
      configuration: beliefs.table?.configuration.version ?? 0,
      confirmedAge: Math.round(Math.min(now - beliefs.confirmedAt, 1e9)),
      ...(facts.route === '' ? { target: request.url ?? '' } : {}),
    });
  };

  const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const arrivedAt = time.now();
    const answer = createCallerAnswer(response, dialect, () => closing);
    const caller = dialect.readCaller(request.headers);
    const trace: RequestTrace = { attempts: 0, upstreams: [], firstMilliseconds: null, cause: '' };
    const left = new AbortController();
    const facts = { arrivedAt, route: '', team: '', left: false };
    response.once('close', () => {
      if (answer.end === 'open') {
        facts.left = true;
        left.abort();
      }
    });
    const refuse = (refusal: Refusal): void => {
      trace.cause = `${resultName(refusal.code)}: ${refusal.detail}`;
      answer.refuse(refusal);
    };
    try {
      if (beliefs.table === null && arrivedAt - startedAt < STARTING_MILLISECONDS) {
        await tables.wait(FIRST_TABLE_MILLISECONDS, left.signal);
      }
      const decision = admitRequest(
        {
          table: beliefs.table,
          confirmedAt: beliefs.confirmedAt,
          keyBoundMilliseconds: keyBound,
          host: request.headers.host ?? '',
          target: request.url ?? '/',
          key: caller.key,
          requestId: caller.requestId,
          deadlineMilliseconds: caller.deadlineMilliseconds,
          arrivedAt,
          draw: random.next(),
        },
        time.now(),
      );
      const body = await readBody(request, limits().bodyBytes);
      if (isRefusal(decision)) {
        refuse(decision);
        return;
      }
      const { route, service, team, deadline } = decision;
      facts.route = route.name;
      facts.team = team?.name ?? '';
      const content = contentDigest(caller.key, request, body);
      if (quarantine.statusOf(content, time.now()).kind === 'quarantined') {
        refuse({
          code: ResultCode.Quarantined,
          detail: 'it crashed several upstreams',
          retryAfterMilliseconds: 30_000,
        });
        return;
      }
      retries.recordRequest(service, arrivedAt);
      const timer = setTimeout(
        () => {
          if (answer.end !== 'open') return;
          trace.cause = 'deadline';
          left.abort();
          if (answer.begun) answer.breakOff();
          else
            refuse({
              code: ResultCode.DeadlineExceeded,
              detail: 'no answer in time',
              retryAfterMilliseconds: null,
            });
        },
        Math.max(0, deadline - time.now()),
      );
      const exchange: EntryRequest = {
        id: caller.requestId ?? '',
        method: request.method ?? 'GET',
        target: request.url ?? '/',
        headers: forwardedHeaders(request, dialect),
        body,
        caller,
        admitted: decision,
        arrivedAt,
        elapsedBefore: entry.callerElapsed.estimateElapsedMilliseconds(
          route.name,
          caller.deadlineMilliseconds,
        ),
        content,
        answer,
        signal: left.signal,
        trace,
      };
      try {
        if (route.kind === 'stream') await runStream(entry, places, exchange);
        else await runPlain(entry, exchange);
      } finally {
        clearTimeout(timer);
      }
    } catch (error) {
      if (error instanceof BodyTooLarge) {
        refuse({
          code: ResultCode.BodyTooLarge,
          detail: 'the body is too large',
          retryAfterMilliseconds: null,
        });
      } else if (!left.signal.aborted) {
        log.write('requestFailed', { request: caller.requestId, reason: String(error) });
        trace.cause = 'internal';
        if (answer.begun) answer.breakOff();
        else
          refuse({
            code: ResultCode.InternalError,
            detail: 'internal',
            retryAfterMilliseconds: null,
          });
      }
    } finally {
      report(request, caller.requestId, answer, trace, facts);
    }
  };

  const server: Server = createServer(
    { maxHeaderSize: FIRST_LIMITS.headerBytes, keepAlive: true, noDelay: true },
    (request, response) => {
      inProgress += 1;
      void handle(request, response).finally(() => {
        inProgress -= 1;
      });
    },
  );
  const applyLimits = (): void => {
    const { headerTimeoutMilliseconds, idleTimeoutMilliseconds } = limits();
    server.keepAliveTimeout = idleTimeoutMilliseconds;
    server.headersTimeout = headerTimeoutMilliseconds;
    server.requestTimeout = 0;
    tables.notify();
  };
  applyLimits();
  server.listen(settings.listen.port, settings.listen.host, 1_024);
  await once(server, 'listening');
  return {
    startClosing: () => {
      closing = true;
    },
    applyLimits,
    get inProgress() {
      return inProgress;
    },
    stopListening: () => {
      server.close();
      server.closeIdleConnections();
    },
    [Symbol.asyncDispose]: async () => {
      const closed = once(server, 'close');
      // A server that no longer listens tells its end when the last connection is gone.
      if (server.listening) server.close();
      else if ((await connectionsOf(server)) === 0) return;
      server.closeAllConnections();
      await closed;
    },
  };
}
