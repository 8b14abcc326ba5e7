import { isDeepStrictEqual } from 'node:util';
import type { Announcement, LoadReport } from '@burdockrail/protocol/protocolMembership.js';

/** Smallest change of load that is forwarded, as a share of the upstream's capacity. */
const MINIMUM_LOAD_CHANGE = 0.1;

/** Smallest change of progress that is forwarded, as a share of the version's chunks. */
const MINIMUM_PROGRESS_CHANGE = 0.05;

/** Kind of difference between an announcement and its predecessor. */
export type AnnouncementChange = 'none' | 'load' | 'state';

/** Fields whose changes are all forwarded at once. */
const stateFields = [
  'incarnation',
  'state',
  'ready',
  'serving',
  'address',
  'service',
  'loadRegistrar',
] as const;

function occupancy(load: LoadReport | undefined): number {
  if (load === undefined) return 0;
  return (load.running + load.waiting) / Math.max(1, load.capacity);
}

function rolloutProgress(announcement: Announcement): number {
  const rollout = announcement.rollout;
  if (rollout === undefined) return 1;
  return rollout.heldChunks / Math.max(1, rollout.chunks);
}

/** Classifies the difference between two announcements of one agent. */
export function announcementChange(
  previous: Announcement | undefined,
  next: Announcement,
): AnnouncementChange {
  if (previous === undefined) return 'state';
  const stateChanged = stateFields.some(
    (field) => !isDeepStrictEqual(previous[field], next[field]),
  );
  if (stateChanged || previous.rollout?.digest !== next.rollout?.digest) return 'state';
  const loadChanged =
    Math.abs(occupancy(previous.load) - occupancy(next.load)) >= MINIMUM_LOAD_CHANGE;
  const progressChanged =
    Math.abs(rolloutProgress(previous) - rolloutProgress(next)) >= MINIMUM_PROGRESS_CHANGE;
  const prefixesChanged = !isDeepStrictEqual(previous.prefixes, next.prefixes);
  return loadChanged || progressChanged || prefixesChanged ? 'load' : 'none';
}
