import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { RequestTraits } from './quarantineState.js';

/** A request whose run at an upstream was interrupted. */
export interface InterruptedRun extends RequestTraits {
  readonly upstream: string;
  /** Start of the upstream's incarnation, in Unix milliseconds. */
  readonly startedAt: number;
}

/** Current liveness of an upstream. */
export interface UpstreamLiveness {
  /** Start of its current incarnation, in Unix milliseconds. */
  readonly startedAt: number;
  readonly silent: boolean;
}

/** Decides which interrupted runs were caused by a crash of their upstream. */
export interface CrashAttribution {
  recordInterruption(run: InterruptedRun, now: Milliseconds): void;
  /** The content ran to completion, so its pending interruptions are not counted as crashes. */
  recordCompletion(content: string): void;
  /** True the first time that a crash is reported; other processes report the same crash again. */
  isFirstReport(run: InterruptedRun): boolean;
  /**
   * Removes and returns the runs whose upstream has crashed since.
   *
   * @param livenessOf - liveness of an upstream; `null` when it is no longer known.
   */
  takeConfirmed(
    livenessOf: (upstream: string) => UpstreamLiveness | null,
    now: Milliseconds,
  ): readonly InterruptedRun[];
}

interface PendingRun {
  readonly run: InterruptedRun;
  readonly interruptedAt: Milliseconds;
}

/**
 * Time after which an upstream that still announces itself is considered not to have crashed, in
 * milliseconds.
 */
const CONFIRMATION_MILLISECONDS = 6_000;

/** Most runs tracked; a network fault that resets many connections interrupts many at once. */
const MAXIMUM_TRACKED_RUNS = 500;

/**
 * Creates the crash attribution of one entry.
 *
 * @remarks
 * When the network resets connections, a popular content is in flight at several upstreams and
 * would be blamed for crashing them, so a run counts only once its upstream is gone, silent or
 * restarted. When upstreams crash one after another, a content that still completes elsewhere is
 * not the cause.
 */
export function createCrashAttribution(): CrashAttribution {
  let pending: readonly PendingRun[] = [];
  const reportedRuns = new Set<string>();
  return {
    recordCompletion: (content) => {
      if (pending.length === 0) return;
      pending = pending.filter(({ run }) => run.content !== content);
    },
    isFirstReport: ({ content, upstream, startedAt }) => {
      const key = `${content} ${upstream} ${startedAt}`;
      if (reportedRuns.has(key)) return false;
      reportedRuns.add(key);
      const [oldest] = reportedRuns;
      if (reportedRuns.size > MAXIMUM_TRACKED_RUNS && oldest !== undefined)
        reportedRuns.delete(oldest);
      return true;
    },
    recordInterruption: (run, now) => {
      pending = [...pending, { run, interruptedAt: now }].slice(-MAXIMUM_TRACKED_RUNS);
    },
    takeConfirmed: (livenessOf, now) => {
      const hasCrashed = ({ run }: PendingRun): boolean => {
        const liveness = livenessOf(run.upstream);
        return liveness === null || liveness.silent || liveness.startedAt > run.startedAt;
      };
      const crashed = pending.filter(hasCrashed);
      pending = pending.filter((item) => {
        return !crashed.includes(item) && now - item.interruptedAt < CONFIRMATION_MILLISECONDS;
      });
      return crashed.map(({ run }) => run);
    },
  };
}
