import { isDeepStrictEqual } from 'node:util';
import type { Announcement, LoadReport } from '@burdockrail/protocol/protocolMembership.js';

/** Share of an upstream's capacity by which its load must change to be forwarded. */
const LOAD_QUANTUM = 0.1;

/** Share of a version's chunks by which progress must change to be forwarded. */
const PROGRESS_QUANTUM = 0.05;

/** How much a new announcement differs from the one before. */
export type AnnouncementChange = 'none' | 'load' | 'state';

/** Fields whose every change is forwarded at once. */
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

function progress(announcement: Announcement): number {
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
  const changed = stateFields.some((field) => !isDeepStrictEqual(previous[field], next[field]));
  if (changed || previous.rollout?.digest !== next.rollout?.digest) return 'state';
  const loadMoved = Math.abs(occupancy(previous.load) - occupancy(next.load)) >= LOAD_QUANTUM;
  const progressMoved = Math.abs(progress(previous) - progress(next)) >= PROGRESS_QUANTUM;
  const prefixesMoved = !isDeepStrictEqual(previous.prefixes, next.prefixes);
  return loadMoved || progressMoved || prefixesMoved ? 'load' : 'none';
}
