import { createByteCollector } from '@burdockrail/common/byteCollector.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { TimeSource } from '@burdockrail/common/timeSource.js';
import { createNamedLimit } from '@burdockrail/limits/namedLimit.js';
import { createUpstreamRest } from '@burdockrail/limits/upstreamRest.js';
import type { UpstreamIncarnation } from '@burdockrail/protocol/protocolDirectory.js';
import type {
  AttemptItem,
  AttemptStart,
  StoredAnswer,
} from '@burdockrail/protocol/protocolAttempt.js';
import type { EventLog } from '@burdockrail/telemetry/eventLog.js';
import type { PeerHandlers, StreamSink } from '@burdockrail/transport/peerHandlers.js';
import { readUpstreamAnswer, type UpstreamAnswerOptions } from './attemptAnswer.js';
import { AttemptError, failedItem } from './attemptFailure.js';
import type { AttemptGate } from './attemptGate.js';
import { createAttemptTable, type AttemptTable } from './attemptTable.js';

/** Time for which a non-repeatable attempt may run on after its timeout, in milliseconds. */
const EXTRA_RUN_MILLISECONDS = 60_000;

/** Longest wait of an attempt while the weights are switched, in milliseconds. */
const MAXIMUM_GATE_WAIT_MILLISECONDS = 5_000;

/** Largest answer body that is stored for a later fence request, in bytes. */
const MAXIMUM_STORED_BODY_BYTES = 256 * 1024;

/** Runs the attempts of one agent. */
export interface AttemptService {
  readonly handlers: Partial<PeerHandlers>;
  /** True while the upstream wants no attempts. */
  readonly isResting: boolean;
  /** Refuses new attempts and resolves when those in progress have ended. */
  drain(): Promise<void>;
}

/** Options of {@link createAttemptService}. */
export interface AttemptServiceOptions extends Omit<
  UpstreamAnswerOptions,
  'onLimit' | 'onRest' | 'isResting'
> {
  readonly gate: AttemptGate;
  readonly incarnation: string;
  readonly service: string;
  readonly time: TimeSource;
  readonly log: EventLog;
  /** Digest of the live weights; undefined if there are none and for plain services. */
  readonly servedDigest: () => string | undefined;
  /** Whether the upstream may be used; it may change while an attempt waits. */
  readonly isReady: () => boolean;
  /** Number of restarts of the upstream that the agent has noticed; each ends a rest. */
  readonly upstreamRestarts: () => number;
  /** Called when the upstream begins to rest. */
  readonly onRestBegun: () => void;
}

type ItemSink = StreamSink<AttemptItem>;

/** Collects an answer for a later fence request. */
function createAnswerCollector(): {
  readonly add: (item: AttemptItem) => void;
  readonly answer: () => StoredAnswer;
} {
  let status = 0;
  let headers: Readonly<Record<string, string>> = {};
  const body = createByteCollector({ maximumBytes: MAXIMUM_STORED_BODY_BYTES });
  let isStored = true;
  return {
    add: (item) => {
      if (item.kind === 'head') {
        status = item.status;
        headers = item.headers;
      }
      if (item.kind === 'data') isStored = body.add(item.bytes);
    },
    answer: () => (isStored ? { status, headers, body: body.take() } : { status, headers }),
  };
}

function findRefusal(options: AttemptServiceOptions, start: AttemptStart): AttemptError | null {
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

function shuttingDownError(): AttemptError {
  const detail = 'the agent is shutting down';
  return new AttemptError(ResultCode.AttemptNeverStarted, 'not-run', detail);
}

function switchingError(): AttemptError {
  const detail = 'the upstream is being switched to other weights';
  return new AttemptError(ResultCode.AttemptNeverStarted, 'not-run', detail);
}

function limitedError(): AttemptError {
  const detail = 'the upstream limits its requests';
  return new AttemptError(ResultCode.Overloaded, 'not-run', detail);
}

function restingError(): AttemptError {
  const detail = 'the upstream rests';
  return new AttemptError(ResultCode.Overloaded, 'not-run', detail);
}

function timeoutError(start: AttemptStart): AttemptError {
  const detail = `no complete answer within ${start.timeoutMilliseconds} ms`;
  return new AttemptError(ResultCode.DeadlineExceeded, 'unknown', detail);
}

function toAttemptError(error: unknown): AttemptError {
  if (error instanceof AttemptError) return error;
  const detail = error instanceof Error ? error.message : String(error);
  return new AttemptError(ResultCode.InternalError, 'unknown', detail);
}

/** Creates the attempt service of one agent. */
export function createAttemptService(options: AttemptServiceOptions): AttemptService {
  const table: AttemptTable = createAttemptTable(options.incarnation);
  const running = new Set<Promise<void>>();
  const limit = createNamedLimit();
  const rest = createUpstreamRest();
  const upstreamIncarnation = (): UpstreamIncarnation => ({
    id: options.service,
    startedAt: options.upstreamRestarts(),
  });
  const isResting = (): boolean =>
    rest.restMilliseconds(upstreamIncarnation(), options.time.now()) > 0;
  const answerOptions: UpstreamAnswerOptions = {
    ...options,
    onLimit: (requestsPerSecond) => {
      if (requestsPerSecond === limit.requestsPerSecond) return;
      const former = limit.requestsPerSecond;
      options.log.write('upstreamLimited', { requestsPerSecond, former });
      limit.set(requestsPerSecond, options.time.now());
    },
    onRest: (requestedMilliseconds) => {
      const now = options.time.now();
      const restMilliseconds = rest.record(upstreamIncarnation(), requestedMilliseconds, now);
      if (restMilliseconds === null) return;
      options.log.write('upstreamRests', { restMilliseconds });
      options.onRestBegun();
    },
    isResting,
  };
  let isDraining = false;

  const runRepeatable = async (
    start: AttemptStart,
    sink: ItemSink,
    cancelled: AbortSignal,
  ): Promise<void> => {
    const timeout = AbortSignal.timeout(start.timeoutMilliseconds);
    const signal = AbortSignal.any([cancelled, timeout]);
    try {
      for await (const item of readUpstreamAnswer(answerOptions, start, signal))
        await sink.write(item);
    } catch (error) {
      if (signal.aborted) await options.upstream.cancel(start.attemptId);
      if (cancelled.aborted) return;
      const failure = timeout.aborted ? timeoutError(start) : toAttemptError(error);
      await sink.write(failedItem(start.attemptId, failure));
    }
  };

  const runNonRepeatable = async (start: AttemptStart, sink: ItemSink): Promise<void> => {
    const collector = createAnswerCollector();
    const runLimitMilliseconds = start.timeoutMilliseconds + EXTRA_RUN_MILLISECONDS;
    const signal = AbortSignal.timeout(runLimitMilliseconds);
    let isEntryConnected = true;
    const deliver = async (item: AttemptItem): Promise<void> => {
      if (!isEntryConnected) return;
      // Losing the entry does not end the attempt: its outcome can be fetched by a fence request.
      await sink.write(item).catch(() => {
        isEntryConnected = false;
      });
    };
    const timer = setTimeout(() => {
      void deliver(failedItem(start.attemptId, timeoutError(start))).then(() => {
        isEntryConnected = false;
      });
    }, start.timeoutMilliseconds);
    try {
      for await (const item of readUpstreamAnswer(answerOptions, start, signal)) {
        collector.add(item);
        if (item.kind === 'end') {
          const end = { kind: 'finished', answer: collector.answer() } as const;
          table.finish(start.attemptId, end, options.time.now());
        }
        await deliver(item);
      }
    } catch (error) {
      const failure = toAttemptError(error);
      const end = { kind: 'failed', run: failure.run } as const;
      table.finish(start.attemptId, end, options.time.now());
      await deliver(failedItem(start.attemptId, failure));
    } finally {
      clearTimeout(timer);
    }
  };

  const runTracked = async (work: Promise<void>): Promise<void> => {
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
    // An attempt that was reported as not run must not start later.
    const { attemptId, agentIncarnation } = start;
    if (agentIncarnation !== undefined) {
      table.fence({ attemptId, agentIncarnation }, options.time.now());
    }
    await sink.write(failedItem(start.attemptId, error));
  };

  const startAttempt = async (
    start: AttemptStart,
    sink: ItemSink,
    signal: AbortSignal,
  ): Promise<void> => {
    const refusal = isDraining ? shuttingDownError() : findRefusal(options, start);
    if (refusal !== null) return refuse(start, sink, refusal);
    if (isResting()) return refuse(start, sink, restingError());
    if (limit.take(options.time.now()) > 0) return refuse(start, sink, limitedError());
    const decision = table.start(start, options.time.now());
    if (decision.kind === 'refuse') {
      const detail = 'the attempt must not start at this agent';
      return refuse(start, sink, new AttemptError(decision.code, decision.run, detail));
    }
    const isRepeatable = start.agentIncarnation === undefined;
    await runTracked(
      isRepeatable ? runRepeatable(start, sink, signal) : runNonRepeatable(start, sink),
    );
  };

  const run = async (start: AttemptStart, sink: ItemSink, signal: AbortSignal): Promise<void> => {
    if (isDraining) return refuse(start, sink, shuttingDownError());
    const waitMilliseconds = Math.min(
      start.timeoutMilliseconds / 2,
      MAXIMUM_GATE_WAIT_MILLISECONDS,
    );
    if (!(await options.gate.enter(waitMilliseconds))) return refuse(start, sink, switchingError());
    try {
      await startAttempt(start, sink, signal);
    } finally {
      options.gate.leave();
    }
  };

  return {
    get isResting() {
      return isResting();
    },
    handlers: {
      streams: { 'attempt.run': async (start, sink, context) => run(start, sink, context.signal) },
      calls: {
        'attempt.fence': async (request) =>
          Promise.resolve(table.fence(request, options.time.now())),
      },
    },
    drain: async () => {
      isDraining = true;
      await Promise.all(running);
    },
  };
}
