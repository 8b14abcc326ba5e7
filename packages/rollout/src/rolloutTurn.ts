import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/** Share of the upstreams of a service in one data centre that may be interrupted concurrently. */
const MAXIMUM_INTERRUPTED_SHARE = 1 / 3;

/** Time after which a turn that was not released expires, in milliseconds. */
const TURN_LEASE_MILLISECONDS = 30_000;

/** Upstreams of a data centre that may be interrupted concurrently: a third, rounded up. */
export function maximumConcurrentTurns(upstreams: number): number {
  return Math.ceil(upstreams * MAXIMUM_INTERRUPTED_SHARE);
}

/** Leases turns to upstreams that must stop serving while they switch their weights. */
export interface TurnLeases {
  /** Grants a turn if fewer than `slots` are held; renews the turn of an agent that holds one. */
  tryAcquire(agent: string, slots: number, now: Milliseconds): boolean;
  release(agent: string): void;
}

/** Creates turn leases of which none is held. */
export function createTurnLeases(): TurnLeases {
  const leaseEnds = new Map<string, Milliseconds>();
  return {
    tryAcquire: (agent, slots, now) => {
      for (const [holder, endsAt] of leaseEnds) if (endsAt <= now) leaseEnds.delete(holder);
      if (!leaseEnds.has(agent) && leaseEnds.size >= slots) return false;
      leaseEnds.set(agent, now + TURN_LEASE_MILLISECONDS);
      return true;
    },
    release: (agent) => {
      leaseEnds.delete(agent);
    },
  };
}
