import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/** Request to run a suspected content at one upstream. */
export interface SuspectRun {
  readonly content: string;
  readonly agent: string;
  /** Time after which the grant expires, in milliseconds. */
  readonly timeoutMilliseconds: number;
}

/** Grants for runs of suspected contents, issued by one process for all entries. */
export interface SuspectGrants {
  /**
   * Grants the run unless the content is already running or the upstream runs another suspected
   * content.
   */
  tryGrant(run: SuspectRun, now: Milliseconds): boolean;
  release(content: string): void;
}

interface Grant {
  readonly agent: string;
  readonly expiresAt: Milliseconds;
}

/**
 * Creates a grant table without grants.
 *
 * @remarks
 * A suspected content runs at one upstream at a time, so it crashes at most one more upstream. Two
 * suspected contents never share an upstream, so neither is blamed for a crash that the other
 * caused.
 */
export function createSuspectGrants(): SuspectGrants {
  const grants = new Map<string, Grant>();
  const dropExpired = (now: Milliseconds): void => {
    for (const [content, { expiresAt }] of grants) if (expiresAt <= now) grants.delete(content);
  };
  return {
    tryGrant: ({ content, agent, timeoutMilliseconds }, now) => {
      dropExpired(now);
      const isUpstreamInUse = [...grants.values()].some((grant) => grant.agent === agent);
      if (isUpstreamInUse || grants.has(content)) return false;
      grants.set(content, { agent, expiresAt: now + timeoutMilliseconds });
      return true;
    },
    release: (content) => {
      grants.delete(content);
    },
  };
}
