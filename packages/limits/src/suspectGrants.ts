import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/** Wish to run a suspect content at one upstream. */
export interface SuspectRun {
  readonly content: string;
  readonly agent: string;
  /** Longest time that the run may take, in milliseconds. */
  readonly timeoutMilliseconds: number;
}

/** Runs of suspect contents that one process allows, for all entries. */
export interface SuspectGrants {
  /** Allows the run, unless the content or another suspect at the upstream is running. */
  tryGrant(run: SuspectRun, now: Milliseconds): boolean;
  release(content: string): void;
}

interface Grant {
  readonly agent: string;
  readonly endsAt: Milliseconds;
}

/**
 * Creates grants of which none is given out.
 *
 * @remarks
 * One content runs at one upstream at a time, so it takes at most one more upstream with it. Two
 * suspects never share an upstream, so the innocent one is not blamed for the other's crash.
 */
export function createSuspectGrants(): SuspectGrants {
  const grants = new Map<string, Grant>();
  const dropEnded = (now: Milliseconds): void => {
    for (const [content, { endsAt }] of grants) if (endsAt <= now) grants.delete(content);
  };
  return {
    tryGrant: ({ content, agent, timeoutMilliseconds }, now) => {
      dropEnded(now);
      const isTaken = [...grants.values()].some((grant) => grant.agent === agent);
      if (isTaken || grants.has(content)) return false;
      grants.set(content, { agent, endsAt: now + timeoutMilliseconds });
      return true;
    },
    release: (content) => {
      grants.delete(content);
    },
  };
}
