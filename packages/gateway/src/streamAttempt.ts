import type { AttemptVerdict } from '@burdockrail/routing/upstreamHealthTracker.js';
import { connectionLimit, type EntryContext } from './entryContext.js';
import type { GrantedPlace } from './entryPlaces.js';
import { outgoingRequest, type EntryRequest } from './entryRequest.js';
import { createEventSplitter } from './eventSplitter.js';
import { judgeAnswer, type NotRun } from './attemptOutcome.js';
import type { AnswerHeaders, HeaderMap } from './dialect.js';
import { mayServe } from './versionRule.js';

/** Longest silence before the first event, in milliseconds: a late first event is worth waiting for. */
const FIRST_EVENT_MILLISECONDS = 1_700;

/** Pauses between events after which an engine counts as silent. */
const SILENT_PAUSES = 3;

/** Least silence in the middle of a stream that counts, in milliseconds. */
const LEAST_SILENCE_MILLISECONDS = 900;

/** Largest answer that is not a stream, in bytes. */
const MAXIMUM_WHOLE_BYTES = 1024 * 1024;

const SUCCESS_STATUS = 200;

/** How one engine's part of a stream ended. */
export type StreamOutcome =
  | { readonly kind: 'complete' }
  | NotRun
  /** The engine answered with something other than a stream. */
  | {
      readonly kind: 'whole';
      readonly status: number;
      readonly rawHeaders: readonly string[];
      readonly body: Buffer;
    }
  | { readonly kind: 'broken'; readonly verdict: AttemptVerdict; readonly reason: string };

/** What an attempt tells while its stream runs. */
export interface StreamSinks {
  /** Called once, right before the first event. */
  head(status: number, rawHeaders: readonly string[]): void;
  /** Takes a whole event; returns false while the caller takes no more. */
  event(bytes: Buffer, id: number | null): boolean;
  onDrain(resume: () => void): void;
}

/** Runs one engine's part of a stream; events are passed on as soon as they are whole. */
export async function attemptStream(
  entry: EntryContext,
  request: EntryRequest,
  place: GrantedPlace,
  lastEventId: number | null,
  sinks: StreamSinks,
): Promise<StreamOutcome> {
  const { connections, dialect, time, beliefs, settings } = entry;
  const { admitted, signal, caller } = request;
  const { route } = admitted;
  const outgoing = outgoingRequest(
    request,
    {
      deadlineMilliseconds: Math.floor(admitted.deadline - time.now()),
      upstreamId: place.engine,
      team: admitted.team?.name ?? null,
      version: place.version,
      lastEventId: lastEventId === null ? null : String(lastEventId),
    },
    dialect,
  );
  const pause = Math.max(LEAST_SILENCE_MILLISECONDS, route.pauseMilliseconds * SILENT_PAUSES);
  const { resolve, promise } = withResolver<StreamOutcome>();
  const splitter = createEventSplitter();
  let sent = false;
  let silent = false;
  let outdated = false;
  let seenEvent = false;
  let head: { status: number; headers: AnswerHeaders; raw: readonly string[] } | null = null;
  let whole: Buffer[] | null = null;
  let wholeBytes = 0;
  let timer: NodeJS.Timeout | undefined;

  const settle = (outcome: StreamOutcome): void => {
    clearTimeout(timer);
    resolve(outcome);
  };
  const watch = (milliseconds: number): void => {
    clearTimeout(timer);
    timer = setTimeout(() => {
      silent = true;
      attempt.abort();
    }, milliseconds);
  };
  const fail = (reason: string): void => {
    attempt.abort();
    settle({ kind: 'broken', verdict: 'failed', reason });
  };

  const onStreamData = (bytes: Buffer): void => {
    for (const { bytes: event, id } of splitter.push(bytes)) {
      if (head === null) return;
      if (!seenEvent) sinks.head(head.status, head.raw);
      seenEvent = true;
      if (!sinks.event(event, id)) {
        attempt.pause();
        sinks.onDrain(() => {
          attempt.resume();
        });
      }
    }
    if (seenEvent) watch(pause);
  };

  watch(FIRST_EVENT_MILLISECONDS);
  const attempt = connections.run(
    place.address,
    connectionLimit(entry, admitted.service),
    outgoing,
    {
      mayStart: () => {
        // The grant and a free connection may have been long in coming.
        outdated = !mayServe(
          place.version,
          beliefs.weightsOf(caller.model),
          settings.bounds,
          time.now(),
        );
        return !outdated;
      },
      sent: () => {
        sent = true;
      },
      head: (status, headers: HeaderMap, rawHeaders) => {
        const read = dialect.readAnswer(headers);
        if (read.requestId !== null && read.requestId !== request.id) {
          fail('the answer belongs to another request');
          return;
        }
        head = { status, headers: read, raw: rawHeaders };
        if (status !== SUCCESS_STATUS) whole = [];
        else if (!read.signed || read.requestId === null) fail('unsigned stream');
      },
      data: (bytes) => {
        if (whole === null) {
          onStreamData(bytes);
          return;
        }
        whole.push(bytes);
        wholeBytes += bytes.length;
        if (wholeBytes > MAXIMUM_WHOLE_BYTES) fail('the answer is too large');
      },
      end: () => {
        if (head === null) {
          settle({ kind: 'broken', verdict: 'broken', reason: 'no answer' });
          return;
        }
        if (whole !== null) {
          const body = Buffer.concat(whole, wholeBytes);
          const judged = judgeAnswer(request.id, head.status, head.headers, head.raw, body);
          if (judged.kind === 'notRun') settle(judged);
          else if (judged.kind === 'unknown') settle({ ...judged, kind: 'broken' });
          else settle({ kind: 'whole', status: head.status, rawHeaders: head.raw, body });
          return;
        }
        if (splitter.pendingBytes > 0) {
          settle({ kind: 'broken', verdict: 'broken', reason: 'ended inside an event' });
          return;
        }
        if (!seenEvent) sinks.head(head.status, head.raw);
        settle({ kind: 'complete' });
      },
      failed: (error) => {
        if (outdated) {
          settle({ kind: 'notRun', verdict: 'full', reason: 'its weights are outdated', sent });
          return;
        }
        const verdict = silent ? 'silent' : 'broken';
        const reason = silent ? 'no event in time' : error.message;
        if (sent) settle({ kind: 'broken', verdict, reason });
        else settle({ kind: 'notRun', verdict, reason, sent });
      },
    },
    signal,
  );
  return promise;
}

function withResolver<Value>(): {
  readonly promise: Promise<Value>;
  readonly resolve: (value: Value) => void;
} {
  let resolve: (value: Value) => void = () => undefined;
  const promise = new Promise<Value>((settle) => {
    resolve = settle;
  });
  return { promise, resolve };
}
