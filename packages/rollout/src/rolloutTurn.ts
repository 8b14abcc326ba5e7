import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/** Share of the upstreams of a service in one data centre that may be interrupted at a time. */
const INTERRUPTED_SHARE = 1 / 3;

/** Time for which upstreams that come before are waited for, in milliseconds. */
const ORDER_KEPT_MILLISECONDS = 8_000;

/** Time after which an upstream switches whatever the others do, in milliseconds. */
const LONGEST_WAIT_MILLISECONDS = 30_000;

/** Another upstream of the same service and data centre. */
export interface TurnPeer {
  readonly agent: string;
  /** Whether it takes requests at present. */
  readonly isReady: boolean;
  /** Whether it holds the new weights in full and serves others. */
  readonly waitsForTurn: boolean;
}

/**
 * Tells whether an upstream may stop taking requests in order to switch its weights.
 *
 * @remarks
 * A third of the upstreams, at least one, may be interrupted at the same time; those that wait go
 * in order of their names. The bounds keep an upstream that is broken from holding up all others.
 */
export function mayInterrupt(
  agent: string,
  peers: readonly TurnPeer[],
  waited: Milliseconds,
): boolean {
  if (waited >= LONGEST_WAIT_MILLISECONDS) return true;
  const slots = Math.max(1, Math.floor((peers.length + 1) * INTERRUPTED_SHARE));
  const interrupted = peers.filter(({ isReady }) => !isReady).length;
  const isBefore = (peer: TurnPeer): boolean =>
    peer.isReady && peer.waitsForTurn && peer.agent < agent;
  const before = waited >= ORDER_KEPT_MILLISECONDS ? 0 : peers.filter(isBefore).length;
  return interrupted + before < slots;
}
