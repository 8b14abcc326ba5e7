import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { TimeSource } from '@burdockrail/common/timeSource.js';
import type {
  AttemptItem,
  AttemptStart,
  StoredAnswer,
} from '@burdockrail/protocol/protocolAttempt.js';
import type { EventLog } from '@burdockrail/telemetry/eventLog.js';
import type { PeerHandlers, StreamSink } from '@burdockrail/transport/peerHandlers.js';
import { upstreamAnswer, type AnswerSource } from './attemptAnswer.js';
import { AttemptError, failedItem } from './attemptFailure.js';
import type { AttemptGate } from './attemptGate.js';
import { createAttemptTable, type AttemptTable } from './attemptTable.js';

/** Time beyond its timeout for which a non-repeatable attempt is followed, in milliseconds. */
const FOLLOWED_AFTER_TIMEOUT_MILLISECONDS = 60_000;

/** Longest time for which an attempt waits while the weights are switched, in milliseconds. */
const LONGEST_HOLD_MILLISECONDS = 5_000;

/** Largest body of an answer that is kept for a later question, in bytes. */
const MAXIMUM_KEPT_BODY_BYTES = 256 * 1024;

/** Attempts of one agent. */
export interface AttemptService {
  readonly handlers: Partial<PeerHandlers>;
  /** Refuses new attempts from now on and resolves when those in progress have ended. */
  drain(): Promise<void>;
}

/** Options of {@link createAttemptService}. */
export interface AttemptServiceOptions extends AnswerSource {
  readonly gate: AttemptGate;
  readonly incarnation: string;
  readonly service: string;
  readonly time: TimeSource;
  readonly log: EventLog;
  /** Digest of the weights that are live; undefined when there are none, or for plain services. */
  readonly servedDigest: () => string | undefined;
  /** Whether the upstream may be used at all. */
  readonly isReady: () => boolean;
}

type ItemSink = StreamSink<AttemptItem>;

/** Collects an answer for a later question. */
function createAnswerCollector(): {
  readonly take: (item: AttemptItem) => void;
  readonly answer: () => StoredAnswer;
} {
  let status = 0;
  let headers: Readonly<Record<string, string>> = {};
  let size = 0;
  let parts: Uint8Array[] = [];
  return {
    take: (item) => {
      if (item.kind === 'head') {
        status = item.status;
        headers = item.headers;
      }
      if (item.kind !== 'data') return;
      size += item.bytes.length;
      if (size > MAXIMUM_KEPT_BODY_BYTES) parts = [];
      else parts.push(item.bytes);
    },
    answer: () =>
      size > MAXIMUM_KEPT_BODY_BYTES
        ? { status, headers }
        : { status, headers, body: Buffer.concat(parts) },
  };
}

function refusalOf(options: AttemptServiceOptions, start: AttemptStart): AttemptError | null {
  const refuse = (code: ResultCode, detail: string): AttemptError =>
    new AttemptError(code, 'not-run', detail);
  if (start.service !== options.service) {
    return refuse(ResultCode.AttemptNeverStarted, `this agent serves ${options.service}`);
  }
  if (!options.isReady()) {
    return refuse(ResultCode.AttemptNeverStarted, 'the upstream is not ready');
  }
  if (start.versionDigest !== undefined && start.versionDigest !== options.servedDigest()) {
    return refuse(ResultCode.VersionUnavailable, 'the upstream serves other weights');
  }
  return null;
}

function shuttingDown(): AttemptError {
  const detail = 'the agent is shutting down';
  return new AttemptError(ResultCode.AttemptNeverStarted, 'not-run', detail);
}

function switching(): AttemptError {
  const detail = 'the upstream is being switched to other weights';
  return new AttemptError(ResultCode.AttemptNeverStarted, 'not-run', detail);
}

function timeoutError(start: AttemptStart): AttemptError {
  const detail = `no whole answer within ${start.timeoutMilliseconds} ms`;
  return new AttemptError(ResultCode.DeadlineExceeded, 'unknown', detail);
}

function asAttemptError(error: unknown): AttemptError {
  if (error instanceof AttemptError) return error;
  const detail = error instanceof Error ? error.message : String(error);
  return new AttemptError(ResultCode.InternalError, 'unknown', detail);
}

/** Creates the attempts of one agent. */
export function createAttemptService(options: AttemptServiceOptions): AttemptService {
  const table: AttemptTable = createAttemptTable(options.incarnation);
  const running = new Set<Promise<void>>();
  let draining = false;

  const runRepeatable = async (
    start: AttemptStart,
    sink: ItemSink,
    cancelled: AbortSignal,
  ): Promise<void> => {
    const timeout = AbortSignal.timeout(start.timeoutMilliseconds);
    const signal = AbortSignal.any([cancelled, timeout]);
    try {
      for await (const item of upstreamAnswer(options, start, signal)) await sink.write(item);
    } catch (error) {
      if (signal.aborted) await options.upstream.cancel(start.attemptId);
      if (cancelled.aborted) return;
      const failure = timeout.aborted ? timeoutError(start) : asAttemptError(error);
      await sink.write(failedItem(start.attemptId, failure));
    }
  };

  const runOnce = async (start: AttemptStart, sink: ItemSink): Promise<void> => {
    const collector = createAnswerCollector();
    const followed = start.timeoutMilliseconds + FOLLOWED_AFTER_TIMEOUT_MILLISECONDS;
    const signal = AbortSignal.timeout(followed);
    let isListening = true;
    const deliver = async (item: AttemptItem): Promise<void> => {
      if (!isListening) return;
      // An entry that went away asks for the outcome later, so its loss does not end the attempt.
      await sink.write(item).catch(() => {
        isListening = false;
      });
    };
    const timer = setTimeout(() => {
      void deliver(failedItem(start.attemptId, timeoutError(start))).then(() => {
        isListening = false;
      });
    }, start.timeoutMilliseconds);
    try {
      for await (const item of upstreamAnswer(options, start, signal)) {
        collector.take(item);
        if (item.kind === 'end') {
          const ending = { kind: 'finished', answer: collector.answer() } as const;
          table.finish(start.attemptId, ending, options.time.now());
        }
        await deliver(item);
      }
    } catch (error) {
      const failure = asAttemptError(error);
      const ending = { kind: 'failed', run: failure.run } as const;
      table.finish(start.attemptId, ending, options.time.now());
      await deliver(failedItem(start.attemptId, failure));
    } finally {
      clearTimeout(timer);
    }
  };

  const track = async (work: Promise<void>): Promise<void> => {
    running.add(work);
    try {
      await work;
    } finally {
      running.delete(work);
    }
  };

  const refuse = async (
    start: AttemptStart,
    sink: ItemSink,
    error: AttemptError,
  ): Promise<void> => {
    options.log.write('attemptRefused', { attemptId: start.attemptId, reason: error.message });
    // What was refused as not run must not start later.
    const { attemptId, agentIncarnation } = start;
    if (agentIncarnation !== undefined) {
      table.fence({ attemptId, agentIncarnation }, options.time.now());
    }
    await sink.write(failedItem(start.attemptId, error));
  };

  const begin = async (start: AttemptStart, sink: ItemSink, signal: AbortSignal): Promise<void> => {
    const refusal = draining ? shuttingDown() : refusalOf(options, start);
    if (refusal !== null) return refuse(start, sink, refusal);
    const decision = table.start(start, options.time.now());
    if (decision.kind === 'refuse') {
      const detail = 'the attempt may not start';
      return refuse(start, sink, new AttemptError(decision.code, decision.run, detail));
    }
    const isRepeatable = start.agentIncarnation === undefined;
    await track(isRepeatable ? runRepeatable(start, sink, signal) : runOnce(start, sink));
  };

  const run = async (start: AttemptStart, sink: ItemSink, signal: AbortSignal): Promise<void> => {
    if (draining) return refuse(start, sink, shuttingDown());
    const wait = Math.min(start.timeoutMilliseconds / 2, LONGEST_HOLD_MILLISECONDS);
    if (!(await options.gate.enter(wait))) return refuse(start, sink, switching());
    try {
      await begin(start, sink, signal);
    } finally {
      options.gate.leave();
    }
  };

  return {
    handlers: {
      streams: { 'attempt.run': async (start, sink, context) => run(start, sink, context.signal) },
      calls: {
        'attempt.fence': async (request) =>
          Promise.resolve(table.fence(request, options.time.now())),
      },
    },
    drain: async () => {
      draining = true;
      await Promise.all(running);
    },
  };
}
