import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/** Share of the upstreams of a service in one data centre that may be interrupted at a time. */
const INTERRUPTED_SHARE = 1 / 3;

/** Time after which a turn that was not given back is free again, in milliseconds. */
const TURN_MILLISECONDS = 30_000;

/** Upstreams of a data centre that may be interrupted at the same time: a third, rounded up. */
export function turnsAtOnce(upstreams: number): number {
  return Math.ceil(upstreams * INTERRUPTED_SHARE);
}

/** Gives turns to upstreams that must stop taking requests to switch their weights. */
export interface TurnDesk {
  /** Gives a turn if fewer than `slots` are out; an agent that has one keeps it. */
  take(agent: string, slots: number, now: Milliseconds): boolean;
  giveBack(agent: string): void;
}

/** Creates a desk with no turn out. */
export function createTurnDesk(): TurnDesk {
  const heldUntil = new Map<string, Milliseconds>();
  return {
    take: (agent, slots, now) => {
      for (const [holder, until] of heldUntil) if (until <= now) heldUntil.delete(holder);
      if (!heldUntil.has(agent) && heldUntil.size >= slots) return false;
      heldUntil.set(agent, now + TURN_MILLISECONDS);
      return true;
    },
    giveBack: (agent) => {
      heldUntil.delete(agent);
    },
  };
}
