import type { AttemptVerdict } from '@burdockrail/routing/upstreamHealthTracker.js';
import { connectionLimit, type EntryContext } from './entryContext.js';
import type { GrantedSlot } from './entrySlots.js';
import { outgoingRequest, type EntryRequest } from './entryRequest.js';
import { createEventSplitter } from './eventSplitter.js';
import { classifyAnswer, endsConnection, type NotRun } from './attemptOutcome.js';
import type { AnswerHeaders, HeaderMap } from './dialect.js';
import { mayServeVersion, mustBeginBy } from './versionRule.js';

/** Timeout for the first event, in milliseconds: even a late first event is useful. */
const FIRST_EVENT_TIMEOUT_MILLISECONDS = 1_700;

/** Timeout between events, in multiples of the route's usual pause. */
const SILENCE_TIMEOUT_PAUSES = 3;

/** Minimum timeout between events, in milliseconds. */
const MINIMUM_SILENCE_TIMEOUT_MILLISECONDS = 900;

/** Maximum size of one event, in bytes. */
const MAXIMUM_EVENT_BYTES = 256 * 1024;

/** Maximum size of an answer that is not a stream, in bytes. */
const MAXIMUM_BUFFERED_BYTES = 1024 * 1024;

const SUCCESS_STATUS = 200;

/** How an attempt at one engine ended. */
export type StreamAttemptOutcome =
  | { readonly kind: 'complete' }
  | NotRun
  /** The engine sent a complete answer that is not a stream. */
  | {
      readonly kind: 'whole';
      readonly status: number;
      readonly rawHeaders: readonly string[];
      readonly body: Buffer;
    }
  | { readonly kind: 'broken'; readonly verdict: AttemptVerdict; readonly reason: string };

/** Callbacks of a running stream attempt. */
export interface StreamObserver {
  /** Called once, immediately before the first event. */
  head(status: number, rawHeaders: readonly string[]): void;
  /** Receives a complete event; returns false when the caller applies backpressure. */
  event(bytes: Buffer, id: number | null): boolean;
  onDrain(resume: () => void): void;
}

/** Runs a stream at one engine and forwards each event as soon as it is complete. */
export async function attemptStream(
  entry: EntryContext,
  request: EntryRequest,
  slot: GrantedSlot,
  lastEventId: number | null,
  observer: StreamObserver,
): Promise<StreamAttemptOutcome> {
  const { connections, dialect, time, clusterView, limits, settings } = entry;
  const { admitted, signal, caller } = request;
  const { route } = admitted;
  const outgoing = outgoingRequest(
    request,
    {
      deadlineMilliseconds: Math.floor(admitted.deadline - time.now()),
      upstreamId: slot.engine,
      team: admitted.team?.name ?? null,
      version: slot.version,
      lastEventId: lastEventId === null ? null : String(lastEventId),
    },
    dialect,
  );
  // A stream that cannot continue at another engine is only ended by the caller or its deadline.
  const silenceTimeoutMilliseconds = route.resumable
    ? Math.max(
        MINIMUM_SILENCE_TIMEOUT_MILLISECONDS,
        route.pauseMilliseconds * SILENCE_TIMEOUT_PAUSES,
      )
    : null;
  const { resolve, promise } = createDeferred<StreamAttemptOutcome>();
  const splitter = createEventSplitter();
  let sent = false;
  let isTimedOut = false;
  let isVersionSuperseded = false;
  let hasReceivedEvent = false;
  let head: { status: number; headers: AnswerHeaders; raw: readonly string[] } | null = null;
  let isFramed = false;
  let bufferedParts: Buffer[] | null = null;
  let bufferedBytes = 0;
  let timer: NodeJS.Timeout | undefined;

  const settle = (outcome: StreamAttemptOutcome): void => {
    clearTimeout(timer);
    resolve(outcome);
  };
  const restartTimer = (milliseconds: number): void => {
    clearTimeout(timer);
    timer = setTimeout(() => {
      isTimedOut = true;
      attempt.abort();
    }, milliseconds);
  };
  const fail = (reason: string): void => {
    // Aborting reports a lost connection, for which the engine is not to blame.
    settle({ kind: 'broken', verdict: 'failed', reason });
    attempt.abort();
  };

  const settleWhole = (
    status: number,
    headers: AnswerHeaders,
    rawHeaders: readonly string[],
    body: Buffer,
  ): void => {
    const classified = classifyAnswer(request.id, status, headers, rawHeaders, body);
    if (classified.kind === 'notRun') settle(classified);
    else if (classified.kind === 'unknown') settle({ ...classified, kind: 'broken' });
    else settle({ kind: 'whole', status, rawHeaders, body });
  };

  const onStreamData = (bytes: Buffer): void => {
    const events = splitter.push(bytes);
    for (const { bytes: event, id } of events) {
      if (head === null) return;
      if (id === null && lastEventId !== null) {
        fail('an event without an id cannot continue the stream');
        return;
      }
      if (!hasReceivedEvent) observer.head(head.status, head.raw);
      hasReceivedEvent = true;
      if (!observer.event(event, id)) {
        attempt.pause();
        observer.onDrain(() => {
          attempt.resume();
        });
      }
    }
    if (splitter.pendingBytes > MAXIMUM_EVENT_BYTES) fail('an event exceeds the size limit');
    // A stalled upstream may send a byte now and then, so only whole events count as progress.
    else if (events.length > 0 && silenceTimeoutMilliseconds !== null)
      restartTimer(silenceTimeoutMilliseconds);
    else if (events.length > 0) clearTimeout(timer);
  };

  const beginBy = mustBeginBy(slot.version, clusterView.weightsOf(caller.model), settings.bounds);
  const firstEventTimeout = route.resumable
    ? FIRST_EVENT_TIMEOUT_MILLISECONDS
    : Number.POSITIVE_INFINITY;
  const firstEventWait = Math.max(0, Math.min(firstEventTimeout, beginBy - time.now()));
  if (Number.isFinite(firstEventWait)) restartTimer(firstEventWait);
  const attempt = connections.run(
    slot.address,
    connectionLimit(entry, admitted.service),
    outgoing,
    {
      mayStart: () => {
        // Time may have passed while the request waited for the grant and for a connection.
        isVersionSuperseded = !mayServeVersion(
          slot.version,
          clusterView.weightsOf(caller.model),
          settings.bounds,
          time.now(),
        );
        return !isVersionSuperseded;
      },
      sent: () => {
        sent = true;
      },
      head: (status, headers: HeaderMap, rawHeaders) => {
        const answerHeaders = dialect.readAnswer(headers);
        if (endsConnection(request.id, status, answerHeaders)) {
          settleWhole(status, answerHeaders, rawHeaders, Buffer.alloc(0));
          attempt.abort();
          return;
        }
        limits.recordAnswer(slot.engine, answerHeaders);
        slot.reportLimit(answerHeaders);
        head = { status, headers: answerHeaders, raw: rawHeaders };
        isFramed = ['content-length', 'transfer-encoding'].some(
          (name) => headers[name] !== undefined,
        );
        if (status !== SUCCESS_STATUS) bufferedParts = [];
        else if (!answerHeaders.signed || answerHeaders.requestId === null)
          fail('stream is not signed by an upstream');
      },
      data: (bytes) => {
        if (bufferedParts === null) {
          onStreamData(bytes);
          return;
        }
        bufferedParts.push(bytes);
        bufferedBytes += bytes.length;
        if (bufferedBytes > MAXIMUM_BUFFERED_BYTES) fail('the answer exceeds the size limit');
      },
      end: () => {
        if (head === null) {
          settle({ kind: 'broken', verdict: 'broken', reason: 'no answer' });
          return;
        }
        if (bufferedParts !== null) {
          const body = Buffer.concat(bufferedParts, bufferedBytes);
          settleWhole(head.status, head.headers, head.raw, body);
          return;
        }
        if (splitter.pendingBytes > 0) {
          settle({ kind: 'broken', verdict: 'broken', reason: 'stream ended inside an event' });
          return;
        }
        // An engine that stops after its head also closes such an answer.
        if (!hasReceivedEvent && (lastEventId === null || !isFramed)) {
          settle({ kind: 'broken', verdict: 'broken', reason: 'stream ended without an event' });
          return;
        }
        if (!hasReceivedEvent) observer.head(head.status, head.raw);
        settle({ kind: 'complete' });
      },
      failed: (error) => {
        if (isVersionSuperseded) {
          settle({
            kind: 'notRun',
            verdict: 'full',
            reason: 'the weights of the engine have been superseded',
            sent,
          });
          return;
        }
        const isTooLateToBegin = isTimedOut && !hasReceivedEvent && time.now() >= beginBy;
        // An engine is not to blame for a version that ends.
        const silentVerdict = isTooLateToBegin ? 'full' : 'silent';
        const verdict = isTimedOut ? silentVerdict : 'broken';
        const reason = isTimedOut ? 'no event in time' : error.message;
        if (sent) settle({ kind: 'broken', verdict, reason });
        else settle({ kind: 'notRun', verdict, reason, sent });
      },
    },
    signal,
  );
  return promise;
}

function createDeferred<Value>(): {
  readonly promise: Promise<Value>;
  readonly resolve: (value: Value) => void;
} {
  let resolve: (value: Value) => void = () => undefined;
  const promise = new Promise<Value>((settle) => {
    resolve = settle;
  });
  return { promise, resolve };
}
