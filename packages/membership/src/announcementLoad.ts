import type { Announcement, LoadUpdate } from '@burdockrail/protocol/protocolMembership.js';
import { MAXIMUM_PREFIXES } from './membershipTiming.js';

/** Returns an announcement with the contents of a load update merged into it. */
export function withLoad(announcement: Announcement, update: LoadUpdate): Announcement {
  const { sequence, load, heldChunks } = update;
  const otherPrefixes = announcement.prefixes.filter((prefix) => !update.prefixes.includes(prefix));
  const { rollout } = announcement;
  return {
    ...announcement,
    sequence,
    prefixes: [...otherPrefixes, ...update.prefixes].slice(-MAXIMUM_PREFIXES),
    ...(load === undefined ? {} : { load }),
    ...(rollout === undefined || heldChunks === undefined
      ? {}
      : { rollout: { ...rollout, heldChunks } }),
  };
}

/** Returns the load update of an announcement, with the prefixes that the receiver is missing. */
export function loadUpdateOf(
  announcement: Announcement,
  isMissing: (prefix: string) => boolean,
): LoadUpdate {
  const { agent, sequence, load, rollout } = announcement;
  return {
    agent,
    sequence,
    prefixes: announcement.prefixes.filter(isMissing),
    ...(load === undefined ? {} : { load }),
    ...(rollout === undefined ? {} : { heldChunks: rollout.heldChunks }),
  };
}
