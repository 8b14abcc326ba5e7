import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { Announcement, LoadUpdate } from '@burdockrail/protocol/protocolMembership.js';
import { loadUpdateOf } from './announcementLoad.js';
import { announcementChange } from './announcementChange.js';
import { LOAD_FORWARD_INTERVAL_MILLISECONDS } from './membershipTiming.js';

/** An agent as its registrar holds it. */
export interface RegisteredAgent {
  readonly latest: Announcement;
  readonly heardAt: Milliseconds;
  /** What the other entries were told last. */
  readonly forwarded: Announcement;
  readonly forwardedAt: Milliseconds;
  /** Change with which the other entries were told of the state last. */
  readonly stateCounter: number;
  /** Change with which they were told of the load last; never before the state. */
  readonly loadCounter: number;
  /** Change with which each prefix of the engine's cache was told. */
  readonly prefixCounters: ReadonlyMap<string, number>;
}

function countPrefixes(
  known: ReadonlyMap<string, number>,
  announcement: Announcement,
  counter: number,
): ReadonlyMap<string, number> {
  return new Map(announcement.prefixes.map((prefix) => [prefix, known.get(prefix) ?? counter]));
}

/** An agent whose whole announcement is forwarded with a change. */
export function withForwardedState(
  known: RegisteredAgent | undefined,
  announcement: Announcement,
  counter: number,
  now: Milliseconds,
): RegisteredAgent {
  return {
    latest: announcement,
    heardAt: now,
    forwarded: announcement,
    forwardedAt: now,
    stateCounter: counter,
    loadCounter: counter,
    prefixCounters: countPrefixes(known?.prefixCounters ?? new Map(), announcement, counter),
  };
}

/** An agent whose load alone is forwarded with a change. */
export function withForwardedLoad(
  known: RegisteredAgent,
  counter: number,
  now: Milliseconds,
): RegisteredAgent {
  return {
    ...known,
    forwarded: known.latest,
    forwardedAt: now,
    loadCounter: counter,
    prefixCounters: countPrefixes(known.prefixCounters, known.latest, counter),
  };
}

/** Tells whether this registrar has to forward the load of an agent now. */
export function isLoadDue(known: RegisteredAgent, registrar: string, now: Milliseconds): boolean {
  const { loadRegistrar = registrar } = known.latest;
  if (loadRegistrar !== registrar) return false;
  if (now - known.forwardedAt < LOAD_FORWARD_INTERVAL_MILLISECONDS) return false;
  return announcementChange(known.forwarded, known.latest) === 'load';
}

/** Load of an agent for an entry that knows all changes up to a counter. */
export function loadUpdateSince(known: RegisteredAgent, since: number): LoadUpdate {
  const lacks = (prefix: string): boolean => (known.prefixCounters.get(prefix) ?? 0) > since;
  return loadUpdateOf(known.forwarded, lacks);
}
