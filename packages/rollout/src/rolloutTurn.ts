import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/** Share of the upstreams of a service in one data centre that may be interrupted concurrently. */
const MAXIMUM_INTERRUPTED_SHARE = 1 / 3;

/** Time after which a turn that was not released expires, in milliseconds. */
const TURN_LEASE_MILLISECONDS = 30_000;

/** Upstreams of a data centre that may be interrupted concurrently: a third, rounded up. */
export function turnsAtOnce(upstreams: number): number {
  return Math.ceil(upstreams * MAXIMUM_INTERRUPTED_SHARE);
}

/** Leases turns to upstreams that must stop serving while they switch their weights. */
export interface TurnDesk {
  /** Grants a turn if fewer than `slots` are held; renews the turn of an agent that holds one. */
  take(agent: string, slots: number, now: Milliseconds): boolean;
  giveBack(agent: string): void;
}

/** Creates turn leases of which none is held. */
export function createTurnDesk(): TurnDesk {
  const leaseEnds = new Map<string, Milliseconds>();
  return {
    take: (agent, slots, now) => {
      for (const [holder, endsAt] of leaseEnds) if (endsAt <= now) leaseEnds.delete(holder);
      if (!leaseEnds.has(agent) && leaseEnds.size >= slots) return false;
      leaseEnds.set(agent, now + TURN_LEASE_MILLISECONDS);
      return true;
    },
    giveBack: (agent) => {
      leaseEnds.delete(agent);
    },
  };
}
