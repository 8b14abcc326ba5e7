import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type {
  Announcement,
  DirectoryUpdate,
  LoadUpdate,
} from '@burdockrail/protocol/protocolMembership.js';
import { withLoad } from './announcementLoad.js';
import { MEMBERSHIP_LEASE_MILLISECONDS } from './membershipTiming.js';
import type { UpstreamDirectory, UpstreamView } from './upstreamDirectory.js';

/** The registrars' updates put together. */
export interface Directory extends UpstreamDirectory {
  /**
   * Takes an update and returns the counter up to which this directory knows the registrar, which
   * tells the registrar where its next update has to start.
   */
  takeUpdate(update: DirectoryUpdate, now: Milliseconds): number;
  /** Takes a sign of life of a registrar whose changes are all known up to the counter. */
  takeBeat(registrar: string, incarnation: string, counter: number, now: Milliseconds): void;
  /** Counter up to which a registrar's incarnation is known; 0 when it is not. */
  knownCounter(registrar: string, incarnation: string): number;
}

interface RegistrarRecord {
  readonly incarnation: string;
  counter: number;
  heardAt: Milliseconds;
  readonly agents: Map<string, Announcement>;
}

/** Creates an empty directory. */
export function createDirectory(
  leaseMilliseconds: Milliseconds = MEMBERSHIP_LEASE_MILLISECONDS,
): Directory {
  const registrars = new Map<string, RegistrarRecord>();
  const agentsOfService = new Map<string, Set<string>>();

  const remember = (record: RegistrarRecord, announcement: Announcement): void => {
    record.agents.set(announcement.agent, announcement);
    const agents = agentsOfService.get(announcement.service) ?? new Set<string>();
    agents.add(announcement.agent);
    agentsOfService.set(announcement.service, agents);
  };

  const rememberLoad = (record: RegistrarRecord, update: LoadUpdate): void => {
    const known = record.agents.get(update.agent);
    if (known === undefined) return;
    record.agents.set(update.agent, withLoad(known, update));
  };

  const recordFor = (update: DirectoryUpdate, now: Milliseconds): RegistrarRecord => {
    const known = registrars.get(update.registrar);
    if (known?.incarnation === update.incarnation && update.since > 0) return known;
    const fresh: RegistrarRecord = {
      incarnation: update.incarnation,
      counter: 0,
      heardAt: now,
      agents: new Map(),
    };
    registrars.set(update.registrar, fresh);
    return fresh;
  };

  const takeUpdate = (update: DirectoryUpdate, now: Milliseconds): number => {
    const counter = knownCounter(update.registrar, update.incarnation);
    if (update.since > counter) return counter;
    const record = recordFor(update, now);
    record.heardAt = now;
    if (update.counter < record.counter) return record.counter;
    for (const departure of update.departed) {
      if (record.agents.get(departure.agent)?.incarnation !== departure.incarnation) continue;
      record.agents.delete(departure.agent);
    }
    for (const announcement of update.announcements) remember(record, announcement);
    for (const load of update.loads) rememberLoad(record, load);
    record.counter = update.counter;
    return record.counter;
  };

  function knownCounter(registrar: string, incarnation: string): number {
    const record = registrars.get(registrar);
    return record?.incarnation === incarnation ? record.counter : 0;
  }

  const takeBeat = (
    registrar: string,
    incarnation: string,
    counter: number,
    now: Milliseconds,
  ): void => {
    const record = registrars.get(registrar);
    if (record?.incarnation !== incarnation || record.counter !== counter) return;
    record.heardAt = now;
  };

  const isFresher = (candidate: UpstreamView, than: UpstreamView | undefined): boolean => {
    if (than === undefined) return true;
    if (candidate.announcement.incarnation === than.announcement.incarnation) {
      return candidate.announcement.sequence > than.announcement.sequence;
    }
    return candidate.confirmedAt > than.confirmedAt;
  };

  const upstream = (agent: string, now: Milliseconds): UpstreamView | undefined => {
    let best: UpstreamView | undefined;
    for (const record of registrars.values()) {
      if (now - record.heardAt > leaseMilliseconds) continue;
      const announcement = record.agents.get(agent);
      if (announcement === undefined) continue;
      const view = { announcement, confirmedAt: record.heardAt };
      if (isFresher(view, best)) best = view;
    }
    return best;
  };

  const viewsOf = (agents: Iterable<string>, now: Milliseconds): readonly UpstreamView[] => {
    const views: UpstreamView[] = [];
    for (const agent of agents) {
      const view = upstream(agent, now);
      if (view !== undefined) views.push(view);
    }
    return views;
  };

  const upstreamsOf = (service: string, now: Milliseconds): readonly UpstreamView[] => {
    const agents = [...(agentsOfService.get(service) ?? [])].sort();
    return viewsOf(agents, now).filter(
      ({ announcement }) => announcement.service === service && announcement.state === 'present',
    );
  };

  const all = (now: Milliseconds): readonly UpstreamView[] => {
    const agents = new Set<string>();
    for (const record of registrars.values()) {
      for (const agent of record.agents.keys()) agents.add(agent);
    }
    return viewsOf([...agents].sort(), now);
  };

  const entryCount = (now: Milliseconds): number => {
    const heard = [...registrars.values()].filter(
      ({ heardAt }) => now - heardAt <= leaseMilliseconds,
    );
    return Math.max(1, heard.length);
  };

  return { takeUpdate, takeBeat, knownCounter, upstreamsOf, upstream, all, entryCount };
}
