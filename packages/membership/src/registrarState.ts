import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { Announcement, DirectoryUpdate } from '@burdockrail/protocol/protocolMembership.js';
import { announcementChange } from './announcementChange.js';
import {
  DEPARTURE_MEMORY_MILLISECONDS,
  LOAD_FORWARD_INTERVAL_MILLISECONDS,
  MEMBERSHIP_LEASE_MILLISECONDS,
} from './membershipTiming.js';

/** The agents that announce themselves to one entry, with the order of their changes. */
export interface Registrar {
  /** Number of the latest change. */
  readonly counter: number;
  /** Takes an announcement; returns whether other entries must be told at once. */
  announce(announcement: Announcement, now: Milliseconds): boolean;
  /** Takes a renewal; returns false when the agent must announce itself in full. */
  renew(confirmed: ConfirmedAnnouncement, now: Milliseconds): boolean;
  /**
   * Drops agents whose lease has ended and releases load reports that waited for their interval;
   * returns whether other entries must be told at once.
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

interface RegisteredAgent {
  readonly latest: Announcement;
  /** What the other entries were told last. */
  readonly forwarded: Announcement;
  readonly forwardedAt: Milliseconds;
  readonly counter: number;
  readonly heardAt: Milliseconds;
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

  const forward = (announcement: Announcement, heardAt: Milliseconds, now: Milliseconds): void => {
    counter += 1;
    departures.delete(announcement.agent);
    agents.set(announcement.agent, {
      latest: announcement,
      forwarded: announcement,
      forwardedAt: now,
      counter,
      heardAt,
    });
  };

  const isOutdated = (known: RegisteredAgent, next: Announcement): boolean =>
    known.latest.incarnation === next.incarnation && next.sequence <= known.latest.sequence;

  const announce = (announcement: Announcement, now: Milliseconds): boolean => {
    const known = agents.get(announcement.agent);
    if (known !== undefined && isOutdated(known, announcement)) return false;
    const change = announcementChange(known?.forwarded, announcement);
    const mayForwardLoad =
      known === undefined || now - known.forwardedAt >= LOAD_FORWARD_INTERVAL_MILLISECONDS;
    if (change === 'state' || (change === 'load' && mayForwardLoad)) {
      forward(announcement, now, now);
      return change === 'state';
    }
    if (known !== undefined) {
      agents.set(announcement.agent, { ...known, latest: announcement, heardAt: now });
    }
    return false;
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

  /** A load report may have come within the interval of the one before and be the last for long. */
  const forwardWaitingLoad = (now: Milliseconds): void => {
    for (const agent of [...agents.values()]) {
      if (now - agent.forwardedAt < LOAD_FORWARD_INTERVAL_MILLISECONDS) continue;
      if (announcementChange(agent.forwarded, agent.latest) === 'none') continue;
      forward(agent.latest, agent.heardAt, now);
    }
  };

  const tick = (now: Milliseconds): boolean => {
    forgetDepartures(now);
    forwardWaitingLoad(now);
    const silent = [...agents.values()].filter((agent) => now - agent.heardAt > lease);
    for (const agent of silent) depart(agent, now);
    return silent.length > 0;
  };

  const updateSince = (since: number): DirectoryUpdate => {
    const base = since < oldestDelta || since > counter ? 0 : since;
    const changed = [...agents.values()].filter((agent) => agent.counter > base);
    const departed = [...departures.values()].filter((departure) => departure.counter > base);
    return {
      registrar: options.name,
      incarnation: options.incarnation,
      counter,
      since: base,
      announcements: changed.map((agent) => agent.forwarded),
      departed: departed.map(({ agent, incarnation }) => ({ agent, incarnation })),
    };
  };

  return {
    get counter() {
      return counter;
    },
    announce,
    renew,
    tick,
    updateSince,
  };
}
