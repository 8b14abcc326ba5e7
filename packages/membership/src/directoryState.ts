import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type {
  Announcement,
  DirectoryUpdate,
  LoadUpdate,
} from '@burdockrail/protocol/protocolMembership.js';
import { withLoad } from './announcementLoad.js';
import { MEMBERSHIP_LEASE_MILLISECONDS } from './membershipTiming.js';
import type { UpstreamDirectory, UpstreamView } from './upstreamDirectory.js';

/** Upstream directory that merges the updates of all registrars. */
export interface Directory extends UpstreamDirectory {
  /**
   * Applies an update; returns the counter up to which the changes of the registrar are known, from
   * which its next update has to start.
   */
  applyUpdate(update: DirectoryUpdate, now: Milliseconds): number;
  /** Applies a heartbeat of a registrar; ignored unless all changes up to the counter are known. */
  applyHeartbeat(registrar: string, incarnation: string, counter: number, now: Milliseconds): void;
  /** Counter up to which changes of a registrar's incarnation are known; 0 when there are none. */
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

  const storeAnnouncement = (record: RegistrarRecord, announcement: Announcement): void => {
    record.agents.set(announcement.agent, announcement);
    const agents = agentsOfService.get(announcement.service) ?? new Set<string>();
    agents.add(announcement.agent);
    agentsOfService.set(announcement.service, agents);
  };

  const storeLoad = (record: RegistrarRecord, update: LoadUpdate): void => {
    const existing = record.agents.get(update.agent);
    if (existing === undefined) return;
    record.agents.set(update.agent, withLoad(existing, update));
  };

  const recordFor = (update: DirectoryUpdate, now: Milliseconds): RegistrarRecord => {
    const existing = registrars.get(update.registrar);
    if (existing?.incarnation === update.incarnation && update.since > 0) return existing;
    const created: RegistrarRecord = {
      incarnation: update.incarnation,
      counter: 0,
      heardAt: now,
      agents: new Map(),
    };
    registrars.set(update.registrar, created);
    return created;
  };

  const applyUpdate = (update: DirectoryUpdate, now: Milliseconds): number => {
    const counter = knownCounter(update.registrar, update.incarnation);
    if (update.since > counter) return counter;
    const record = recordFor(update, now);
    record.heardAt = now;
    if (update.counter < record.counter) return record.counter;
    for (const departure of update.departed) {
      if (record.agents.get(departure.agent)?.incarnation !== departure.incarnation) continue;
      record.agents.delete(departure.agent);
    }
    for (const announcement of update.announcements) storeAnnouncement(record, announcement);
    for (const load of update.loads) storeLoad(record, load);
    record.counter = update.counter;
    return record.counter;
  };

  function knownCounter(registrar: string, incarnation: string): number {
    const record = registrars.get(registrar);
    return record?.incarnation === incarnation ? record.counter : 0;
  }

  const applyHeartbeat = (
    registrar: string,
    incarnation: string,
    counter: number,
    now: Milliseconds,
  ): void => {
    const record = registrars.get(registrar);
    if (record?.incarnation !== incarnation || record.counter !== counter) return;
    record.heardAt = now;
  };

  const isNewer = (candidate: UpstreamView, current: UpstreamView | undefined): boolean => {
    if (current === undefined) return true;
    if (candidate.announcement.incarnation === current.announcement.incarnation) {
      return candidate.announcement.sequence > current.announcement.sequence;
    }
    return candidate.confirmedAt > current.confirmedAt;
  };

  const upstream = (agent: string, now: Milliseconds): UpstreamView | undefined => {
    let newest: UpstreamView | undefined;
    for (const record of registrars.values()) {
      if (now - record.heardAt > leaseMilliseconds) continue;
      const announcement = record.agents.get(agent);
      if (announcement === undefined) continue;
      const view = { announcement, confirmedAt: record.heardAt };
      if (isNewer(view, newest)) newest = view;
    }
    return newest;
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
    const liveRegistrars = [...registrars.values()].filter(
      ({ heardAt }) => now - heardAt <= leaseMilliseconds,
    );
    return Math.max(1, liveRegistrars.length);
  };

  return {
    applyUpdate,
    applyHeartbeat,
    knownCounter,
    upstreamsOf,
    upstream,
    all,
    entryCount,
  };
}
