import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type {
  Announcement,
  DirectoryUpdate,
  LoadUpdate,
} from '@burdockrail/protocol/protocolMembership.js';
import { withLoad } from './announcementLoad.js';
import { announcementChange } from './announcementChange.js';
import {
  DEPARTURE_MEMORY_MILLISECONDS,
  MEMBERSHIP_LEASE_MILLISECONDS,
} from './membershipTiming.js';
import {
  isLoadDue,
  loadUpdateSince,
  withForwardedLoad,
  withForwardedState,
  type RegisteredAgent,
} from './registeredAgent.js';

/** The agents that announce themselves to one entry, with the order of their changes. */
export interface Registrar {
  /** Number of the latest change. */
  readonly counter: number;
  /** Takes an announcement; returns whether other entries must be told at once. */
  announce(announcement: Announcement, now: Milliseconds): boolean;
  /** Takes the load of an agent; returns false when the agent must announce itself in full. */
  load(update: LoadUpdate, incarnation: string, now: Milliseconds): boolean;
  /** Takes a renewal; returns false when the agent must announce itself in full. */
  renew(confirmed: ConfirmedAnnouncement, now: Milliseconds): boolean;
  /**
   * Drops agents whose lease has ended and forwards load reports that are due; returns whether
   * other entries must be told at once.
   */
  tick(now: Milliseconds): boolean;
  /** Changes after a counter; a full copy when the counter is too old or of another incarnation. */
  updateSince(counter: number): DirectoryUpdate;
}

/** Names one announcement of an agent. */
export type ConfirmedAnnouncement = Pick<Announcement, 'agent' | 'incarnation' | 'sequence'>;

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

/** Creates a registrar that knows no agent. */
export function createRegistrar(options: RegistrarOptions): Registrar {
  const lease = options.leaseMilliseconds ?? MEMBERSHIP_LEASE_MILLISECONDS;
  const agents = new Map<string, RegisteredAgent>();
  const departures = new Map<string, Departure>();
  let counter = 0;
  /** Updates that start before this counter may miss a departure that was forgotten. */
  let oldestDelta = 0;

  const forwardState = (announcement: Announcement, now: Milliseconds): void => {
    counter += 1;
    departures.delete(announcement.agent);
    const known = agents.get(announcement.agent);
    agents.set(announcement.agent, withForwardedState(known, announcement, counter, now));
  };

  const isOutdated = (known: RegisteredAgent, next: Announcement): boolean =>
    known.latest.incarnation === next.incarnation && next.sequence <= known.latest.sequence;

  const announce = (announcement: Announcement, now: Milliseconds): boolean => {
    const known = agents.get(announcement.agent);
    if (known !== undefined && isOutdated(known, announcement)) return false;
    if (known === undefined || announcementChange(known.forwarded, announcement) === 'state') {
      forwardState(announcement, now);
      return true;
    }
    agents.set(announcement.agent, { ...known, latest: announcement, heardAt: now });
    return false;
  };

  const load = (update: LoadUpdate, incarnation: string, now: Milliseconds): boolean => {
    const known = agents.get(update.agent);
    if (known?.latest.incarnation !== incarnation) return false;
    const isNewer = update.sequence > known.latest.sequence;
    const latest = isNewer ? withLoad(known.latest, update) : known.latest;
    agents.set(update.agent, { ...known, latest, heardAt: now });
    return true;
  };

  const renew = (confirmed: ConfirmedAnnouncement, now: Milliseconds): boolean => {
    const known = agents.get(confirmed.agent);
    if (known === undefined) return false;
    if (known.latest.incarnation !== confirmed.incarnation) return false;
    if (known.latest.sequence !== confirmed.sequence) return false;
    agents.set(confirmed.agent, { ...known, heardAt: now });
    return true;
  };

  const depart = (agent: RegisteredAgent, now: Milliseconds): void => {
    counter += 1;
    const { agent: name, incarnation } = agent.latest;
    agents.delete(name);
    departures.set(name, { agent: name, incarnation, counter, at: now });
  };

  const forgetDepartures = (now: Milliseconds): void => {
    for (const departure of departures.values()) {
      if (now - departure.at < DEPARTURE_MEMORY_MILLISECONDS) continue;
      departures.delete(departure.agent);
      oldestDelta = Math.max(oldestDelta, departure.counter);
    }
  };

  const forwardLoads = (now: Milliseconds): void => {
    for (const [name, agent] of agents) {
      if (!isLoadDue(agent, options.name, now)) continue;
      counter += 1;
      agents.set(name, withForwardedLoad(agent, counter, now));
    }
  };

  const tick = (now: Milliseconds): boolean => {
    forgetDepartures(now);
    forwardLoads(now);
    const silent = [...agents.values()].filter((agent) => now - agent.heardAt > lease);
    for (const agent of silent) depart(agent, now);
    return silent.length > 0;
  };

  const updateSince = (since: number): DirectoryUpdate => {
    const base = since < oldestDelta || since > counter ? 0 : since;
    const known = [...agents.values()];
    const changed = known.filter((agent) => agent.stateCounter > base);
    const loaded = known.filter((agent) => agent.stateCounter <= base && agent.loadCounter > base);
    const departed = [...departures.values()].filter((departure) => departure.counter > base);
    return {
      registrar: options.name,
      incarnation: options.incarnation,
      counter,
      since: base,
      announcements: changed.map((agent) => agent.forwarded),
      loads: loaded.map((agent) => loadUpdateSince(agent, base)),
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
