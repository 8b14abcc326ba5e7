import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { Announcement, LoadUpdate } from '@burdockrail/protocol/protocolMembership.js';
import { loadUpdateOf } from './announcementLoad.js';
import { announcementChange } from './announcementChange.js';
import { LOAD_FORWARD_INTERVAL_MILLISECONDS } from './membershipTiming.js';

/** State that a registrar keeps for one agent. */
export interface RegisteredAgent {
  readonly latest: Announcement;
  readonly heardAt: Milliseconds;
  /** Announcement last forwarded to the other entries. */
  readonly forwarded: Announcement;
  readonly forwardedAt: Milliseconds;
  /** Change number with which the state was last forwarded. */
  readonly stateCounter: number;
  /** Change number with which the load was last forwarded; never below `stateCounter`. */
  readonly loadCounter: number;
  /** Change number with which each prefix of the engine's cache was first forwarded. */
  readonly prefixCounters: ReadonlyMap<string, number>;
}

function nextPrefixCounters(
  previous: ReadonlyMap<string, number>,
  announcement: Announcement,
  counter: number,
): ReadonlyMap<string, number> {
  return new Map(announcement.prefixes.map((prefix) => [prefix, previous.get(prefix) ?? counter]));
}

/** Returns the agent after its full announcement is forwarded with a change. */
export function withForwardedState(
  previous: RegisteredAgent | undefined,
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
    prefixCounters: nextPrefixCounters(
      previous?.prefixCounters ?? new Map(),
      announcement,
      counter,
    ),
  };
}

/** Returns the agent after only its load is forwarded with a change. */
export function withForwardedLoad(
  agent: RegisteredAgent,
  counter: number,
  now: Milliseconds,
): RegisteredAgent {
  return {
    ...agent,
    forwarded: agent.latest,
    forwardedAt: now,
    loadCounter: counter,
    prefixCounters: nextPrefixCounters(agent.prefixCounters, agent.latest, counter),
  };
}

/** Tells whether this registrar has to forward the load of an agent now. */
export function isLoadDue(agent: RegisteredAgent, registrar: string, now: Milliseconds): boolean {
  const { loadRegistrar = registrar } = agent.latest;
  if (loadRegistrar !== registrar) return false;
  if (now - agent.forwardedAt < LOAD_FORWARD_INTERVAL_MILLISECONDS) return false;
  return announcementChange(agent.forwarded, agent.latest) === 'load';
}

/** Returns the load update for an entry that knows all changes up to a counter. */
export function loadUpdateSince(agent: RegisteredAgent, since: number): LoadUpdate {
  const isMissing = (prefix: string): boolean => (agent.prefixCounters.get(prefix) ?? 0) > since;
  return loadUpdateOf(agent.forwarded, isMissing);
}
