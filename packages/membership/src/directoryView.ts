import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type {
  DirectoryWatchReply,
  RelayedDeparture,
  RelayedUpstreamRecord,
  UpstreamRecord,
} from '@burdockrail/protocol/protocolDirectory.js';
import { createDepartureRegister, DEPARTURE_RETENTION_MILLISECONDS } from './departureRegister.js';
import { prevailingVerdicts } from './loadVerdicts.js';
import { compareStandings, departedRecord } from './upstreamOrder.js';

/**
 * Time for which a control process must have been receiving heartbeats before an upstream that it has
 * never listed is removed, in milliseconds: four heartbeats at the slowest interval in use.
 */
const MINIMUM_INFORMED_MILLISECONDS = 5_000;

/** An upstream as known to a watcher. */
export interface DirectoryEntry {
  readonly record: UpstreamRecord;
  readonly silent: boolean;
  /** Time of the last heartbeat that any control process received, on this process's clock. */
  readonly heardAt: Milliseconds;
}

/** An entry's or agent's copy of the upstream records of the control processes. */
export interface DirectoryView {
  apply(update: DirectoryWatchReply, now: Milliseconds): void;
  /** All upstreams that are not gone. */
  readonly entries: readonly DirectoryEntry[];
  get(id: string): DirectoryEntry | undefined;
  /** Upstreams of a service that report to be ready. */
  ready(service: string): readonly DirectoryEntry[];
}

/** The record with the verdicts that were known before, if its sender knew none or older ones. */
function withKnownVerdicts(
  record: UpstreamRecord,
  known: UpstreamRecord | undefined,
): UpstreamRecord {
  if (known?.loads === undefined || known.startedAt !== record.startedAt) return record;
  if (record.loads === undefined) return { ...record, loads: known.loads };
  const loads = prevailingVerdicts(known.loads, record.loads, record.startedAt);
  return { ...record, loads };
}

/**
 * Creates an empty view.
 *
 * @remarks
 * A control process that has just started, or was cut off, does not know all upstreams yet. Its lists
 * add and change records at once; what it has not listed is removed once it must have heard of it.
 */
export function createDirectoryView(): DirectoryView {
  const entriesById = new Map<string, DirectoryEntry>();
  const departures = createDepartureRegister();
  let readyByService = new Map<string, readonly DirectoryEntry[]>();
  /** Upstreams that the control process has listed since its first answer. */
  let listedIds = new Set<string>();
  let hasUnlisted = false;

  const applyRecord = (
    { record, silent, ageMilliseconds }: RelayedUpstreamRecord,
    now: Milliseconds,
  ): void => {
    const current = entriesById.get(record.id);
    const next = withKnownVerdicts(
      departedRecord(record, departures.get(record.id)),
      current?.record,
    );
    if (current !== undefined && compareStandings(next, current.record) < 0) return;
    entriesById.set(record.id, { record: next, silent, heardAt: now - ageMilliseconds });
  };

  const applyDeparture = (
    { departure, ageMilliseconds }: RelayedDeparture,
    now: Milliseconds,
  ): void => {
    if (!departures.apply(departure, now - ageMilliseconds)) return;
    const current = entriesById.get(departure.id);
    if (current === undefined) return;
    entriesById.set(departure.id, {
      ...current,
      record: departedRecord(current.record, departure),
      heardAt: now - ageMilliseconds,
    });
  };

  /** Removes what was not listed; another control process may still list a gone upstream. */
  const removeUnlisted = (now: Milliseconds): void => {
    for (const [id, { record, heardAt }] of entriesById) {
      const isKept = record.state === 'gone' && now - heardAt <= DEPARTURE_RETENTION_MILLISECONDS;
      if (!listedIds.has(id) && !isKept) entriesById.delete(id);
    }
  };

  const liveEntries = (): readonly DirectoryEntry[] =>
    [...entriesById.values()].filter(({ record }) => record.state !== 'gone');

  const rebuildServiceIndex = (): void => {
    readyByService = new Map();
    for (const entry of liveEntries()) {
      if (entry.record.state !== 'ready') continue;
      const { service } = entry.record;
      readyByService.set(service, [...(readyByService.get(service) ?? []), entry]);
    }
  };

  return {
    apply: (update, now) => {
      departures.expire(now);
      if (update.complete) {
        listedIds = new Set();
        hasUnlisted = true;
      }
      const isInformed = update.informedMilliseconds > MINIMUM_INFORMED_MILLISECONDS;
      const removes = hasUnlisted && isInformed;
      if (update.records.length === 0 && update.departures.length === 0 && !removes) return;
      for (const departure of update.departures) applyDeparture(departure, now);
      for (const relayed of update.records) {
        listedIds.add(relayed.record.id);
        applyRecord(relayed, now);
      }
      if (removes) {
        removeUnlisted(now);
        hasUnlisted = false;
        listedIds = new Set();
      }
      rebuildServiceIndex();
    },
    get entries() {
      return liveEntries();
    },
    get: (id) => entriesById.get(id),
    ready: (service) => readyByService.get(service) ?? [],
  };
}
