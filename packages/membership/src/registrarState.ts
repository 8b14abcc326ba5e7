import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type {
  Announcement,
  DirectoryUpdate,
  LoadUpdate,
} from '@burdockrail/protocol/protocolMembership.js';
import { withLoad } from './announcementLoad.js';
import { announcementChange } from './announcementChange.js';
import {
  DEPARTURE_RETENTION_MILLISECONDS,
  MEMBERSHIP_LEASE_MILLISECONDS,
} from './membershipTiming.js';
import {
  isLoadDue,
  loadUpdateSince,
  withForwardedLoad,
  withForwardedState,
  type RegisteredAgent,
} from './registeredAgent.js';

/** Tracks the agents that announce themselves to one entry, and numbers their changes. */
export interface Registrar {
  /** Number of the last change. */
  readonly counter: number;
  /** Applies an announcement; returns whether other entries must be notified at once. */
  announce(announcement: Announcement, now: Milliseconds): boolean;
  /** Applies the load of an agent; returns false when the agent must send a full announcement. */
  load(update: LoadUpdate, incarnation: string, now: Milliseconds): boolean;
  /** Renews the lease of an agent; returns false when the agent must send a full announcement. */
  renew(id: AnnouncementId, now: Milliseconds): boolean;
  /**
   * Removes agents whose lease expired and forwards load reports that are due; returns whether
   * other entries must be notified at once.
   */
  tick(now: Milliseconds): boolean;
  /** Changes after a counter; a full copy when the counter is too old or ahead of this registrar. */
  updateSince(knownCounter: number): DirectoryUpdate;
}

/** Identifies one announcement of an agent. */
export type AnnouncementId = Pick<Announcement, 'agent' | 'incarnation' | 'sequence'>;

/** Options of {@link createRegistrar}. */
export interface RegistrarOptions {
  readonly name: string;
  readonly incarnation: string;
  readonly leaseMilliseconds?: Milliseconds;
}

interface Departure {
  readonly agent: string;
  readonly incarnation: string;
  readonly counter: number;
  readonly at: Milliseconds;
}

/** Creates a registrar without agents. */
export function createRegistrar(options: RegistrarOptions): Registrar {
  const leaseMilliseconds = options.leaseMilliseconds ?? MEMBERSHIP_LEASE_MILLISECONDS;
  const agents = new Map<string, RegisteredAgent>();
  const departures = new Map<string, Departure>();
  let counter = 0;
  /** A delta from before this counter could miss an expired departure, so a full copy is sent. */
  let minimumDeltaBase = 0;

  const forwardState = (announcement: Announcement, now: Milliseconds): void => {
    counter += 1;
    departures.delete(announcement.agent);
    const registered = agents.get(announcement.agent);
    agents.set(announcement.agent, withForwardedState(registered, announcement, counter, now));
  };

  const isOutdated = (registered: RegisteredAgent, next: Announcement): boolean =>
    registered.latest.incarnation === next.incarnation &&
    next.sequence <= registered.latest.sequence;

  const announce = (announcement: Announcement, now: Milliseconds): boolean => {
    const registered = agents.get(announcement.agent);
    if (registered !== undefined && isOutdated(registered, announcement)) return false;
    if (
      registered === undefined ||
      announcementChange(registered.forwarded, announcement) === 'state'
    ) {
      forwardState(announcement, now);
      return true;
    }
    agents.set(announcement.agent, { ...registered, latest: announcement, heardAt: now });
    return false;
  };

  const load = (update: LoadUpdate, incarnation: string, now: Milliseconds): boolean => {
    const registered = agents.get(update.agent);
    if (registered?.latest.incarnation !== incarnation) return false;
    const isNewer = update.sequence > registered.latest.sequence;
    const latest = isNewer ? withLoad(registered.latest, update) : registered.latest;
    agents.set(update.agent, { ...registered, latest, heardAt: now });
    return true;
  };

  const renew = (id: AnnouncementId, now: Milliseconds): boolean => {
    const registered = agents.get(id.agent);
    if (registered === undefined) return false;
    if (registered.latest.incarnation !== id.incarnation) return false;
    if (registered.latest.sequence !== id.sequence) return false;
    agents.set(id.agent, { ...registered, heardAt: now });
    return true;
  };

  const removeAgent = (agent: RegisteredAgent, now: Milliseconds): void => {
    counter += 1;
    const { agent: name, incarnation } = agent.latest;
    agents.delete(name);
    departures.set(name, { agent: name, incarnation, counter, at: now });
  };

  const expireDepartures = (now: Milliseconds): void => {
    for (const departure of departures.values()) {
      if (now - departure.at < DEPARTURE_RETENTION_MILLISECONDS) continue;
      departures.delete(departure.agent);
      minimumDeltaBase = Math.max(minimumDeltaBase, departure.counter);
    }
  };

  const forwardDueLoads = (now: Milliseconds): void => {
    for (const [name, agent] of agents) {
      if (!isLoadDue(agent, options.name, now)) continue;
      counter += 1;
      agents.set(name, withForwardedLoad(agent, counter, now));
    }
  };

  const tick = (now: Milliseconds): boolean => {
    expireDepartures(now);
    forwardDueLoads(now);
    const silent = [...agents.values()].filter((agent) => now - agent.heardAt > leaseMilliseconds);
    for (const agent of silent) removeAgent(agent, now);
    return silent.length > 0;
  };

  const updateSince = (knownCounter: number): DirectoryUpdate => {
    const base = knownCounter < minimumDeltaBase || knownCounter > counter ? 0 : knownCounter;
    const registered = [...agents.values()];
    const stateChanged = registered.filter((agent) => agent.stateCounter > base);
    const loadChanged = registered.filter(
      (agent) => agent.stateCounter <= base && agent.loadCounter > base,
    );
    const departed = [...departures.values()].filter((departure) => departure.counter > base);
    return {
      registrar: options.name,
      incarnation: options.incarnation,
      counter,
      since: base,
      announcements: stateChanged.map((agent) => agent.forwarded),
      loads: loadChanged.map((agent) => loadUpdateSince(agent, base)),
      departed: departed.map(({ agent, incarnation }) => ({ agent, incarnation })),
    };
  };

  return {
    get counter() {
      return counter;
    },
    announce,
    load,
    renew,
    tick,
    updateSince,
  };
}
