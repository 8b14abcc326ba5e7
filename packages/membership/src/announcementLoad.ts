import type { Announcement, LoadUpdate } from '@burdockrail/protocol/protocolMembership.js';
import { PREFIXES_REMEMBERED } from './membershipTiming.js';

/** An announcement with the parts replaced that a load update carries. */
export function withLoad(known: Announcement, update: LoadUpdate): Announcement {
  const { sequence, load, heldChunks } = update;
  const older = known.prefixes.filter((prefix) => !update.prefixes.includes(prefix));
  const { rollout } = known;
  return {
    ...known,
    sequence,
    prefixes: [...older, ...update.prefixes].slice(-PREFIXES_REMEMBERED),
    ...(load === undefined ? {} : { load }),
    ...(rollout === undefined || heldChunks === undefined
      ? {}
      : { rollout: { ...rollout, heldChunks } }),
  };
}

/** The changing parts of an announcement, with those prefixes that the receiver lacks. */
export function loadUpdateOf(
  announcement: Announcement,
  lacks: (prefix: string) => boolean,
): LoadUpdate {
  const { agent, sequence, load, rollout } = announcement;
  return {
    agent,
    sequence,
    prefixes: announcement.prefixes.filter(lacks),
    ...(load === undefined ? {} : { load }),
    ...(rollout === undefined ? {} : { heldChunks: rollout.heldChunks }),
  };
}
