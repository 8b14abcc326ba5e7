import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/** An upstream that broke off while it ran a content. */
export interface BrokenRun {
  /** Digest of caller, method, path and body. */
  readonly content: string;
  readonly upstream: string;
}

/** What is known of an upstream at present. */
export interface UpstreamLife {
  /** Start of its present incarnation in Unix milliseconds. */
  readonly startedAt: number;
  readonly silent: boolean;
}

/** Runs that broke off, until it shows whether their upstream ended with them. */
export interface CrashEvidence {
  broke(run: BrokenRun, startedAt: number, now: Milliseconds): void;
  /** The content ran to its end, so it ended none of the upstreams that are in question. */
  ranWhole(content: string): void;
  /** True for a proved run that is told for the first time: other processes repeat theirs. */
  isNews(run: BrokenRun): boolean;
  /** Takes the runs whose upstream has ended since, by what is known of it; `null` for nothing. */
  proved(
    lifeOf: (upstream: string) => UpstreamLife | null,
    now: Milliseconds,
  ): readonly BrokenRun[];
}

interface Pending {
  readonly run: BrokenRun;
  readonly startedAt: number;
  readonly at: Milliseconds;
}

/** Time after which an upstream that still announces itself is taken to have lived on, in milliseconds. */
const PROOF_MILLISECONDS = 6_000;

/** Runs that are remembered at most: a reset of many connections brings many at once. */
const REMEMBERED_RUNS = 500;

/**
 * Creates the evidence of an entry that has seen nothing.
 *
 * @remarks
 * Answers networks that reset connections: contents that many callers ask for are in flight at
 * several upstreams then, and would look as if they had crashed them. The same holds for upstreams
 * that end in series, where contents go on being served elsewhere.
 */
export function createCrashEvidence(): CrashEvidence {
  let pending: readonly Pending[] = [];
  const told = new Set<string>();
  return {
    ranWhole: (content) => {
      if (pending.length === 0) return;
      pending = pending.filter(({ run }) => run.content !== content);
    },
    isNews: ({ content, upstream }) => {
      const key = `${content} ${upstream}`;
      if (told.has(key)) return false;
      told.add(key);
      const [oldest] = told;
      if (told.size > REMEMBERED_RUNS && oldest !== undefined) told.delete(oldest);
      return true;
    },
    broke: (run, startedAt, now) => {
      pending = [...pending, { run, startedAt, at: now }].slice(-REMEMBERED_RUNS);
    },
    proved: (lifeOf, now) => {
      const hasEnded = ({ run, startedAt }: Pending): boolean => {
        const life = lifeOf(run.upstream);
        return life === null || life.silent || life.startedAt > startedAt;
      };
      const ended = pending.filter(hasEnded);
      pending = pending.filter((candidate) => {
        return !ended.includes(candidate) && now - candidate.at < PROOF_MILLISECONDS;
      });
      return ended.map(({ run }) => run);
    },
  };
}
