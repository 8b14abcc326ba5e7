import { createByteCollector, type ByteCollector } from '@burdockrail/common/byteCollector.js';
import { createEventSplitter } from '@burdockrail/common/eventSplitter.js';
import type { AttemptVerdict } from '@burdockrail/routing/upstreamHealthTracker.js';
import { connectionLimit, type EntryContext } from './entryContext.js';
import type { GrantedSlot } from './entrySlots.js';
import { outgoingRequest, type EntryRequest } from './entryRequest.js';
import { readEventId } from './eventId.js';
import {
  classifyAnswer,
  endsConnection,
  isOwnAnswer,
  restingOutcome,
  type NotRun,
} from './attemptOutcome.js';
import type { AnswerHeaders, HeaderMap } from './dialect.js';
import { leavingOutcome } from './upstreamDepartures.js';
import { startSilenceTimer } from './streamSilence.js';
import { mayServeVersion, mustBeginBy } from './versionRule.js';

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
  /** Receives a complete event. */
  event(bytes: Buffer, id: number | null): void;
  /** Forwards the events received; returns false when the caller applies backpressure. */
  flush(): boolean;
  onDrain(resume: () => void): void;
  /** No event has arrived for a while; called again after each further such time. */
  silent(): void;
}

/** A stream in progress at one engine. */
export interface RunningStream {
  readonly outcome: Promise<StreamAttemptOutcome>;
  /** True from a call of `silent` until the next event. */
  readonly isSilent: boolean;
  /** Closes the connection to the engine. */
  abort(): void;
}

/**
 * Runs a stream at one engine and forwards each event as soon as it is complete.
 *
 * @remarks
 * Silence alone ends no stream: a sound engine may pause and go on.
 */
export function startStream(
  entry: EntryContext,
  request: EntryRequest,
  slot: GrantedSlot,
  lastEventId: number | null,
  observer: StreamObserver,
): RunningStream {
  const { connections, dialect, time, clusterView, limits, departures, rests, settings } = entry;
  const { answerMemory } = entry;
  const incarnation = { id: slot.engine, startedAt: slot.startedAt };
  const { admitted, signal, caller } = request;
  const isResting = (): boolean => rests.restMilliseconds(incarnation, time.now()) > 0;
  if (isResting()) return unstartedStream(restingOutcome);
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
  const { resolve, promise } = createDeferred<StreamAttemptOutcome>();
  const splitter = createEventSplitter({
    maximumBytes: MAXIMUM_EVENT_BYTES,
    budget: answerMemory,
  });
  let sent = false;
  let isTooLateToBegin = false;
  let isPaused = false;
  let isVersionSuperseded = false;
  let isLeaving = false;
  let hasBegunToRest = false;
  let hasReceivedEvent = false;
  let failure: string | null = null;
  let head: { status: number; headers: AnswerHeaders; raw: readonly string[] } | null = null;
  let isFramed = false;
  let wholeBody: ByteCollector | null = null;
  let beginTimer: NodeJS.Timeout | undefined;

  // Silence matters only where another engine could take the stream over.
  const silence = route.resumable
    ? startSilenceTimer(route.pauseMilliseconds, () => {
        observer.silent();
      })
    : null;

  const stopWaiting = departures.whenLeaving(incarnation, () => {
    isLeaving = true;
    attempt.abort();
  });
  const settle = (outcome: StreamAttemptOutcome): void => {
    stopWaiting();
    silence?.stop();
    clearTimeout(beginTimer);
    wholeBody?.close();
    splitter.close();
    resolve(outcome);
  };
  /** Stops reading until the caller has read what was sent. */
  const pauseForCaller = (): void => {
    if (isPaused) return;
    isPaused = true;
    silence?.pause();
    attempt.pause();
    observer.onDrain(() => {
      isPaused = false;
      attempt.resume();
      silence?.resume();
    });
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

  /** Passes an event on; returns false if it ends the attempt. */
  const onEvent = (event: Buffer): boolean => {
    const id = readEventId(event);
    if (head === null) return false;
    if (id === null && lastEventId !== null) {
      failure = 'an event without an id cannot continue the stream';
      return false;
    }
    // A stalled upstream may send a byte now and then, so only whole events count as progress.
    silence?.eventReceived();
    clearTimeout(beginTimer);
    if (!hasReceivedEvent) observer.head(head.status, head.raw);
    hasReceivedEvent = true;
    observer.event(event, id);
    return true;
  };

  const onStreamData = (bytes: Buffer): void => {
    if (!splitter.push(bytes, onEvent)) failure ??= 'an event exceeds the size limit';
    if (!observer.flush()) pauseForCaller();
    if (failure !== null) fail(failure);
  };

  const beginBy = mustBeginBy(slot.version, clusterView.weightsOf(caller.model), settings.bounds);
  if (Number.isFinite(beginBy)) {
    beginTimer = setTimeout(
      () => {
        isTooLateToBegin = true;
        attempt.abort();
      },
      Math.max(0, beginBy - time.now()),
    );
  }
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
        isLeaving = departures.isLeaving(incarnation);
        hasBegunToRest = isResting();
        return !isVersionSuperseded && !isLeaving && !hasBegunToRest;
      },
      sent: () => {
        stopWaiting();
        sent = true;
      },
      head: (status, headers: HeaderMap, rawHeaders) => {
        const answerHeaders = dialect.readAnswer(headers);
        if (isOwnAnswer(request.id, answerHeaders))
          departures.recordAnswer(incarnation, answerHeaders);
        if (endsConnection(request.id, status, answerHeaders)) {
          settleWhole(status, answerHeaders, rawHeaders, Buffer.alloc(0));
          attempt.abort();
          return;
        }
        limits.recordAnswer(slot.engine, answerHeaders);
        slot.reportLimit(answerHeaders);
        const rest = rests.recordAnswer(incarnation, status, answerHeaders, time.now());
        if (rest !== null) slot.reportRest(rest);
        head = { status, headers: answerHeaders, raw: rawHeaders };
        isFramed = ['content-length', 'transfer-encoding'].some(
          (name) => headers[name] !== undefined,
        );
        if (status !== SUCCESS_STATUS) {
          wholeBody = createByteCollector({
            maximumBytes: MAXIMUM_BUFFERED_BYTES,
            budget: answerMemory,
          });
        } else if (!answerHeaders.signed || answerHeaders.requestId === null)
          fail('stream is not signed by an upstream');
      },
      data: (bytes) => {
        if (wholeBody === null) onStreamData(bytes);
        else if (!wholeBody.add(bytes)) fail('the answer exceeds the size limit');
      },
      end: () => {
        if (head === null) {
          settle({ kind: 'broken', verdict: 'broken', reason: 'no answer' });
          return;
        }
        if (wholeBody !== null) {
          settleWhole(head.status, head.headers, head.raw, wholeBody.take());
          return;
        }
        const blankLines = splitter.end();
        if (blankLines === null) {
          settle({ kind: 'broken', verdict: 'broken', reason: 'stream ended inside an event' });
          return;
        }
        // An engine that stops after its head also closes such an answer.
        if (!hasReceivedEvent && (lastEventId === null || !isFramed)) {
          settle({ kind: 'broken', verdict: 'broken', reason: 'stream ended without an event' });
          return;
        }
        if (!hasReceivedEvent) observer.head(head.status, head.raw);
        if (hasReceivedEvent && blankLines.length > 0) {
          observer.event(blankLines, null);
          observer.flush();
        }
        settle({ kind: 'complete' });
      },
      failed: (error) => {
        if (isLeaving || hasBegunToRest) {
          settle(isLeaving ? leavingOutcome : restingOutcome);
          return;
        }
        if (isVersionSuperseded) {
          settle({
            kind: 'notRun',
            verdict: 'full',
            reason: 'the weights of the engine have been superseded',
            sent,
          });
          return;
        }
        // An engine is not to blame for a version that ends.
        const verdict = isTooLateToBegin ? 'full' : 'broken';
        const reason = isTooLateToBegin
          ? 'no event before the weights of the engine were superseded'
          : error.message;
        if (sent) settle({ kind: 'broken', verdict, reason });
        else settle({ kind: 'notRun', verdict, reason, sent });
      },
    },
    signal,
  );
  return {
    outcome: promise,
    get isSilent() {
      return silence?.isSilent === true;
    },
    abort: () => {
      attempt.abort();
    },
  };
}

/** A stream of which nothing is sent. */
function unstartedStream(outcome: NotRun): RunningStream {
  return { outcome: Promise.resolve(outcome), isSilent: false, abort: () => undefined };
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
