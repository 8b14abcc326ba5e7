import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { SHARE_HELD_MILLISECONDS } from '@burdockrail/limits/slackShare.js';

/** Entries that watch a control process, and those that watch the others. */
export interface EntryCounts {
  /** An entry asked this process for changes. */
  recordWatch(entry: string, now: Milliseconds): void;
  /** Another control process, by its address, told how many entries watch it. */
  recordPeer(address: string, count: number, now: Milliseconds): void;
  /** Entries that watch this process. */
  own(now: Milliseconds): number;
  /** Entries that watch any control process. */
  all(now: Milliseconds): number;
  /** Place of an entry among all: control processes number their watchers one after the other. */
  indexOf(entry: string, now: Milliseconds): number;
}

interface PeerCount {
  readonly count: number;
  readonly at: Milliseconds;
}

function isActive(at: Milliseconds, now: Milliseconds): boolean {
  return now - at < SHARE_HELD_MILLISECONDS;
}

/** Creates the counts of the control process at an address, which nobody has asked yet. */
export function createEntryCounts(self: string): EntryCounts {
  const entriesSeenAt = new Map<string, Milliseconds>();
  const peerCounts = new Map<string, PeerCount>();
  const own = (now: Milliseconds): number =>
    [...entriesSeenAt.values()].filter((at) => isActive(at, now)).length;
  const sumOfPeers = (isCounted: (address: string) => boolean, now: Milliseconds): number =>
    [...peerCounts]
      .filter(([address, { at }]) => isCounted(address) && isActive(at, now))
      .reduce((sum, [, { count }]) => sum + count, 0);
  return {
    recordWatch: (entry, now) => {
      entriesSeenAt.set(entry, now);
    },
    recordPeer: (address, count, now) => {
      peerCounts.set(address, { count, at: now });
    },
    own,
    all: (now) => own(now) + sumOfPeers(() => true, now),
    indexOf: (entry, now) => {
      const preceding = [...entriesSeenAt].filter(
        ([other, at]) => other < entry && isActive(at, now),
      );
      return sumOfPeers((address) => address < self, now) + preceding.length;
    },
  };
}
