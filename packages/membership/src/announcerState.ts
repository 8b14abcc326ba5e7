import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type {
  Announcement,
  LoadUpdate,
  AnnouncementRenewal,
} from '@burdockrail/protocol/protocolMembership.js';
import { announcementChange, type AnnouncementChange } from './announcementChange.js';
import { loadUpdateOf } from './announcementLoad.js';
import {
  LOAD_FORWARD_INTERVAL_MILLISECONDS,
  MEMBERSHIP_LEASE_MILLISECONDS,
} from './membershipTiming.js';
import { chooseRegistrars, type RegistrarCandidate } from './registrarChoice.js';

/** A message to send to one registrar. */
export type AnnouncerMessage =
  | { readonly kind: 'announce'; readonly registrar: string; readonly announcement: Announcement }
  | { readonly kind: 'load'; readonly registrar: string; readonly update: LoadUpdate }
  | { readonly kind: 'renew'; readonly registrar: string; readonly renewal: AnnouncementRenewal };

/** Announcement of an agent without the fields that the announcer adds. */
export type AnnouncementBody = Omit<Announcement, 'sequence' | 'loadRegistrar'>;

/** Decides which messages an agent sends to which registrars. */
export interface Announcer {
  /** Messages to send now, for the current state of the agent. */
  messages(body: AnnouncementBody, now: Milliseconds): readonly AnnouncerMessage[];
  /** Records that a registrar holds the announcement or load with this sequence number. */
  recordAcknowledgement(registrar: string, sequence: number): void;
  /** Records that a registrar did not answer or does not know the agent. */
  recordFailure(registrar: string, kind: 'unreachable' | 'unknown', now: Milliseconds): void;
}

/** What a registrar last acknowledged for the agent. */
interface AcknowledgedAnnouncement {
  readonly sequence: number;
  readonly prefixes: readonly string[];
}

/** Creates the announcer of one agent. */
export function createAnnouncer(
  agent: string,
  dataCentre: string,
  entries: readonly RegistrarCandidate[],
): Announcer {
  const acknowledged = new Map<string, AcknowledgedAnnouncement>();
  const failedAt = new Map<string, Milliseconds>();
  let latest: Announcement | undefined;
  /** Sequence of the last change to more than the load. */
  let stateSequence = 0;
  let updatedAt = Number.NEGATIVE_INFINITY;

  const isDue = (change: AnnouncementChange, now: Milliseconds): boolean =>
    change === 'state' ||
    (change === 'load' && now - updatedAt >= LOAD_FORWARD_INTERVAL_MILLISECONDS);

  const updateAnnouncement = (
    body: AnnouncementBody,
    loadRegistrar: string | undefined,
    now: Milliseconds,
  ): Announcement => {
    const sequence = (latest?.sequence ?? 0) + 1;
    const loadRegistrarField = loadRegistrar === undefined ? {} : { loadRegistrar };
    const next: Announcement = { ...body, ...loadRegistrarField, sequence };
    const change = announcementChange(latest, next);
    if (latest !== undefined && !isDue(change, now)) return latest;
    if (change === 'state') stateSequence = sequence;
    latest = next;
    updatedAt = now;
    return next;
  };

  const recentlyFailed = (now: Milliseconds): ReadonlySet<string> => {
    for (const [registrar, at] of failedAt) {
      if (now - at > MEMBERSHIP_LEASE_MILLISECONDS) failedAt.delete(registrar);
    }
    return new Set(failedAt.keys());
  };

  const messageTo = (registrar: string, announcement: Announcement): AnnouncerMessage => {
    const lastAcknowledged = acknowledged.get(registrar);
    if (lastAcknowledged === undefined || lastAcknowledged.sequence < stateSequence) {
      return { kind: 'announce', registrar, announcement };
    }
    const isLoadRegistrar = announcement.loadRegistrar === registrar;
    if (isLoadRegistrar && lastAcknowledged.sequence < announcement.sequence) {
      const update = loadUpdateOf(
        announcement,
        (prefix) => !lastAcknowledged.prefixes.includes(prefix),
      );
      return { kind: 'load', registrar, update };
    }
    return { kind: 'renew', registrar, renewal: { sequence: lastAcknowledged.sequence } };
  };

  return {
    messages: (body, now) => {
      const registrars = chooseRegistrars(agent, dataCentre, entries, recentlyFailed(now));
      const announcement = updateAnnouncement(body, registrars[0]?.name, now);
      return registrars.map((registrar) => messageTo(registrar.name, announcement));
    },
    recordAcknowledgement: (registrar, sequence) => {
      const prefixes = latest?.sequence === sequence ? latest.prefixes : [];
      acknowledged.set(registrar, { sequence, prefixes });
      failedAt.delete(registrar);
    },
    recordFailure: (registrar, kind, now) => {
      acknowledged.delete(registrar);
      if (kind === 'unreachable') failedAt.set(registrar, now);
    },
  };
}
