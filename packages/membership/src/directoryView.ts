import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type {
  DirectoryWatchReply,
  RelayedUpstreamRecord,
  UpstreamRecord,
} from '@burdockrail/protocol/protocolDirectory.js';

/**
 * Uptime of a control process from which a record missing from its complete list is removed, in
 * milliseconds: four heartbeats at the slowest interval in use.
 */
const MINIMUM_UPTIME_FOR_REMOVAL_MILLISECONDS = 5_000;

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

function isOlder(next: UpstreamRecord, current: UpstreamRecord): boolean {
  if (next.startedAt !== current.startedAt) return next.startedAt < current.startedAt;
  if (current.state === 'gone') return next.state !== 'gone';
  return next.sequence < current.sequence;
}

/**
 * Creates an empty view.
 *
 * @remarks
 * A control process that has just started does not know all upstreams yet. Its complete lists add and
 * change records at once, but remove records only after a minimum uptime.
 */
export function createDirectoryView(): DirectoryView {
  const entriesById = new Map<string, DirectoryEntry>();
  let readyByService = new Map<string, readonly DirectoryEntry[]>();

  const applyRecord = (
    { record, silent, ageMilliseconds }: RelayedUpstreamRecord,
    now: Milliseconds,
  ): void => {
    const current = entriesById.get(record.id);
    if (current !== undefined && isOlder(record, current.record)) return;
    entriesById.set(record.id, { record, silent, heardAt: now - ageMilliseconds });
  };

  const removeMissing = (records: readonly RelayedUpstreamRecord[]): void => {
    const present = new Set(records.map(({ record }) => record.id));
    for (const id of entriesById.keys()) if (!present.has(id)) entriesById.delete(id);
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
      if (update.records.length === 0 && !update.complete) return;
      for (const record of update.records) applyRecord(record, now);
      const mayRemove =
        update.complete && update.upMilliseconds > MINIMUM_UPTIME_FOR_REMOVAL_MILLISECONDS;
      if (mayRemove) removeMissing(update.records);
      rebuildServiceIndex();
    },
    get entries() {
      return liveEntries();
    },
    get: (id) => entriesById.get(id),
    ready: (service) => readyByService.get(service) ?? [],
  };
}
