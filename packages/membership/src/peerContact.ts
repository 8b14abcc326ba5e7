import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/**
 * Silence after which contact to another control process counts as lost, in milliseconds: a long poll
 * and its time-out.
 */
const CONTACT_LOST_MILLISECONDS = 1_200;

/** For how long a control process has known what a majority of its group hears. */
export interface PeerContact {
  /** Another control process answered with what it has heard. */
  recordAnswer(peer: string, now: Milliseconds): void;
  /**
   * Time since which contact to a majority has lasted without a break, 0 while there is none.
   *
   * @param peers - the other voters of the group.
   */
  informedMilliseconds(peers: readonly string[], now: Milliseconds): Milliseconds;
}

/** Creates the contact of a process that starts at a time. */
export function createPeerContact(startedAt: Milliseconds): PeerContact {
  const answeredAt = new Map<string, Milliseconds>();
  let informedSince = startedAt;
  return {
    recordAnswer: (peer, now) => {
      answeredAt.set(peer, now);
    },
    informedMilliseconds: (peers, now) => {
      const reached = peers.filter((peer) => {
        const at = answeredAt.get(peer);
        return at !== undefined && now - at <= CONTACT_LOST_MILLISECONDS;
      });
      // This process is one of the majority itself.
      const isMajority = 2 * (reached.length + 1) > peers.length + 1;
      if (!isMajority) informedSince = now;
      return now - informedSince;
    },
  };
}
