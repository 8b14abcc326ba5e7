import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type {
  Announcement,
  LoadUpdate,
  Renewal,
} from '@burdockrail/protocol/protocolMembership.js';
import { announcementChange, type AnnouncementChange } from './announcementChange.js';
import { loadUpdateOf } from './announcementLoad.js';
import {
  LOAD_FORWARD_INTERVAL_MILLISECONDS,
  MEMBERSHIP_LEASE_MILLISECONDS,
} from './membershipTiming.js';
import { chooseRegistrars, type RegistrarCandidate } from './registrarChoice.js';

/** A message that an agent owes to one registrar. */
export type AnnouncerMessage =
  | { readonly kind: 'announce'; readonly registrar: string; readonly announcement: Announcement }
  | { readonly kind: 'load'; readonly registrar: string; readonly update: LoadUpdate }
  | { readonly kind: 'renew'; readonly registrar: string; readonly renewal: Renewal };

/** What an agent says of itself, without the parts that the announcer adds. */
export type AnnouncementBody = Omit<Announcement, 'sequence' | 'loadRegistrar'>;

/** Decides what an agent tells which registrar. */
export interface Announcer {
  /** Messages to send now, given the present state of the agent. */
  messages(body: AnnouncementBody, now: Milliseconds): readonly AnnouncerMessage[];
  /** A registrar holds the announcement, or the load, with this sequence number. */
  acknowledged(registrar: string, sequence: number): void;
  /** A registrar did not answer, or does not know the agent. */
  failed(registrar: string, kind: 'unreachable' | 'unknown', now: Milliseconds): void;
}

/** What a registrar is known to hold of the agent. */
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
  /** Sequence of the last change that is more than a change of load. */
  let stateSequence = 0;
  let advancedAt = Number.NEGATIVE_INFINITY;

  const isDue = (change: AnnouncementChange, now: Milliseconds): boolean =>
    change === 'state' ||
    (change === 'load' && now - advancedAt >= LOAD_FORWARD_INTERVAL_MILLISECONDS);

  const advance = (
    body: AnnouncementBody,
    loadRegistrar: string | undefined,
    now: Milliseconds,
  ): Announcement => {
    const sequence = (latest?.sequence ?? 0) + 1;
    const forwarder = loadRegistrar === undefined ? {} : { loadRegistrar };
    const next: Announcement = { ...body, ...forwarder, sequence };
    const change = announcementChange(latest, next);
    if (latest !== undefined && !isDue(change, now)) return latest;
    if (change === 'state') stateSequence = sequence;
    latest = next;
    advancedAt = now;
    return next;
  };

  const failedNow = (now: Milliseconds): ReadonlySet<string> => {
    for (const [registrar, at] of failedAt) {
      if (now - at > MEMBERSHIP_LEASE_MILLISECONDS) failedAt.delete(registrar);
    }
    return new Set(failedAt.keys());
  };

  const messageTo = (registrar: string, announcement: Announcement): AnnouncerMessage => {
    const held = acknowledged.get(registrar);
    if (held === undefined || held.sequence < stateSequence) {
      return { kind: 'announce', registrar, announcement };
    }
    const takesLoad = announcement.loadRegistrar === registrar;
    if (takesLoad && held.sequence < announcement.sequence) {
      const update = loadUpdateOf(announcement, (prefix) => !held.prefixes.includes(prefix));
      return { kind: 'load', registrar, update };
    }
    return { kind: 'renew', registrar, renewal: { sequence: held.sequence } };
  };

  return {
    messages: (body, now) => {
      const registrars = chooseRegistrars(agent, dataCentre, entries, failedNow(now));
      const announcement = advance(body, registrars[0]?.name, now);
      return registrars.map((registrar) => messageTo(registrar.name, announcement));
    },
    acknowledged: (registrar, sequence) => {
      const prefixes = latest?.sequence === sequence ? latest.prefixes : [];
      acknowledged.set(registrar, { sequence, prefixes });
      failedAt.delete(registrar);
    },
    failed: (registrar, kind, now) => {
      acknowledged.delete(registrar);
      if (kind === 'unreachable') failedAt.set(registrar, now);
    },
  };
}
