import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { Announcement, Renewal } from '@burdockrail/protocol/protocolMembership.js';
import { announcementChange } from './announcementChange.js';
import { MEMBERSHIP_LEASE_MILLISECONDS } from './membershipTiming.js';
import { chooseRegistrars, type RegistrarCandidate } from './registrarChoice.js';

/** A message that an agent owes to one registrar. */
export type AnnouncerMessage =
  | { readonly kind: 'announce'; readonly registrar: string; readonly announcement: Announcement }
  | { readonly kind: 'renew'; readonly registrar: string; readonly renewal: Renewal };

/** What an agent says of itself, without the parts that the announcer adds. */
export type AnnouncementBody = Omit<Announcement, 'sequence' | 'loadRegistrar'>;

/** Decides what an agent tells which registrar. */
export interface Announcer {
  /** Messages to send now, given the present state of the agent. */
  messages(body: AnnouncementBody, now: Milliseconds): readonly AnnouncerMessage[];
  /** A registrar holds the announcement with this sequence number. */
  acknowledged(registrar: string, sequence: number): void;
  /** A registrar did not answer, or does not know the agent. */
  failed(registrar: string, kind: 'unreachable' | 'unknown', now: Milliseconds): void;
}

/** Creates the announcer of one agent. */
export function createAnnouncer(
  agent: string,
  dataCentre: string,
  entries: readonly RegistrarCandidate[],
): Announcer {
  const acknowledgedSequence = new Map<string, number>();
  const failedAt = new Map<string, Milliseconds>();
  let latest: Announcement | undefined;

  const advance = (body: AnnouncementBody, loadRegistrar: string | undefined): Announcement => {
    const sequence = latest?.sequence ?? 0;
    const forwarder = loadRegistrar === undefined ? {} : { loadRegistrar };
    const next = { ...body, ...forwarder, sequence: sequence + 1 };
    if (latest !== undefined && announcementChange(latest, next) === 'none') return latest;
    latest = next;
    return next;
  };

  const failedNow = (now: Milliseconds): ReadonlySet<string> => {
    for (const [registrar, at] of failedAt) {
      if (now - at > MEMBERSHIP_LEASE_MILLISECONDS) failedAt.delete(registrar);
    }
    return new Set(failedAt.keys());
  };

  const messageTo = (registrar: string, announcement: Announcement): AnnouncerMessage => {
    if (acknowledgedSequence.get(registrar) !== announcement.sequence) {
      return { kind: 'announce', registrar, announcement };
    }
    return { kind: 'renew', registrar, renewal: { sequence: announcement.sequence } };
  };

  return {
    messages: (body, now) => {
      const registrars = chooseRegistrars(agent, dataCentre, entries, failedNow(now));
      const announcement = advance(body, registrars[0]?.name);
      return registrars.map((registrar) => messageTo(registrar.name, announcement));
    },
    acknowledged: (registrar, sequence) => {
      acknowledgedSequence.set(registrar, sequence);
      failedAt.delete(registrar);
    },
    failed: (registrar, kind, now) => {
      acknowledgedSequence.delete(registrar);
      if (kind === 'unreachable') failedAt.set(registrar, now);
    },
  };
}
