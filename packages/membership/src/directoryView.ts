import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type {
  DirectoryUpdateSet,
  SharedRecord,
  UpstreamRecord,
} from '@burdockrail/protocol/protocolDirectory.js';

/**
 * Time for which a control process must have taken heartbeats before a record that it lacks counts
 * as ended, in milliseconds: four heartbeats of the slowest interval in use.
 */
const COMPLETE_AFTER_MILLISECONDS = 5_000;

/** An upstream as a watcher knows it. */
export interface DirectoryEntry {
  readonly record: UpstreamRecord;
  readonly silent: boolean;
  /** Time of the last heartbeat that any control process had heard, on this process's clock. */
  readonly heardAt: Milliseconds;
}

/** What an entry or agent holds of the board of a control process. */
export interface DirectoryView {
  apply(update: DirectoryUpdateSet, now: Milliseconds): void;
  /** All upstreams that have not ended. */
  readonly entries: readonly DirectoryEntry[];
  get(id: string): DirectoryEntry | undefined;
  /** Upstreams of a service that say they are ready. */
  ready(service: string): readonly DirectoryEntry[];
}

function isOlder(next: UpstreamRecord, held: UpstreamRecord): boolean {
  if (next.startedAt !== held.startedAt) return next.startedAt < held.startedAt;
  if (held.state === 'gone') return next.state !== 'gone';
  return next.sequence < held.sequence;
}

/**
 * Creates an empty view.
 *
 * @remarks
 * A control process that has just started knows no upstreams yet. Its complete lists therefore add
 * and change records from the start, but take records away only after it has been up for a while.
 */
export function createDirectoryView(): DirectoryView {
  const held = new Map<string, DirectoryEntry>();
  let byService = new Map<string, readonly DirectoryEntry[]>();

  const take = ({ record, silent, ageMilliseconds }: SharedRecord, now: Milliseconds): void => {
    const known = held.get(record.id);
    if (known !== undefined && isOlder(record, known.record)) return;
    held.set(record.id, { record, silent, heardAt: now - ageMilliseconds });
  };

  const dropMissing = (records: readonly SharedRecord[]): void => {
    const present = new Set(records.map(({ record }) => record.id));
    for (const id of held.keys()) if (!present.has(id)) held.delete(id);
  };

  const live = (): readonly DirectoryEntry[] =>
    [...held.values()].filter(({ record }) => record.state !== 'gone');

  const index = (): void => {
    byService = new Map();
    for (const entry of live()) {
      if (entry.record.state !== 'ready') continue;
      const { service } = entry.record;
      byService.set(service, [...(byService.get(service) ?? []), entry]);
    }
  };

  return {
    apply: (update, now) => {
      if (update.records.length === 0 && !update.complete) return;
      for (const record of update.records) take(record, now);
      const mayDrop = update.complete && update.upMilliseconds > COMPLETE_AFTER_MILLISECONDS;
      if (mayDrop) dropMissing(update.records);
      index();
    },
    get entries() {
      return live();
    },
    get: (id) => held.get(id),
    ready: (service) => byService.get(service) ?? [],
  };
}
