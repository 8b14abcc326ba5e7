import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type {
  HeldModel,
  SharedRecord,
  UpstreamRecord,
} from '@burdockrail/protocol/protocolDirectory.js';

/** Time for which the end of an upstream is remembered, so that late heartbeats do not revive it. */
const TOMBSTONE_MILLISECONDS = 120_000;

/** A record on the board. */
export interface BoardRecord {
  readonly record: UpstreamRecord;
  readonly heardAt: Milliseconds;
  /** True when heartbeats have stayed out for longer than allowed. */
  readonly silent: boolean;
  /** Board revision of the last change that routing has to know of. */
  readonly changedIn: number;
  /** Board revision of the last heartbeat. */
  readonly refreshedIn: number;
}

/** Upstreams that announced themselves to any control process. */
export interface UpstreamBoard {
  readonly revision: number;
  /** Takes a heartbeat or a passed-on record; tells whether it was newer than what is held. */
  take(record: UpstreamRecord, heardAt: Milliseconds): boolean;
  /** Takes the word of the agent beside an engine on what the engine holds. */
  takeModels(id: string, models: readonly HeldModel[]): void;
  /** Marks an upstream as gone by its own word. */
  leave(id: string, now: Milliseconds): void;
  /** Marks records whose heartbeats stayed out, and forgets old ends. */
  sweep(silenceMilliseconds: Milliseconds, now: Milliseconds): void;
  /** Records changed after a revision; with `refreshes` also those that were only heard again. */
  since(revision: number, refreshes: boolean, now: Milliseconds): readonly SharedRecord[];
  /** Newest revision that a caller who asks with or without refreshes has to know of. */
  latest(refreshes: boolean): number;
  readonly records: readonly BoardRecord[];
}

function isNewer(next: UpstreamRecord, held: UpstreamRecord): boolean {
  if (next.startedAt !== held.startedAt) return next.startedAt > held.startedAt;
  if (held.state === 'gone') return false;
  // The word that an upstream leaves has no sequence of its own and ends its incarnation.
  if (next.state === 'gone') return true;
  return next.sequence > held.sequence;
}

/** Fields whose change concerns routing. */
function routingFields(record: UpstreamRecord): string {
  const { id, service, address, dataCentre, slots, state, startedAt, models } = record;
  return JSON.stringify([id, service, address, dataCentre, slots, state, startedAt, models]);
}

/**
 * Creates an empty board.
 *
 * @remarks
 * Of two records of one upstream the later incarnation wins, and within an incarnation the higher
 * sequence. An address belongs to the incarnation that started last, so a heartbeat that was held
 * up cannot bring back the former holder of a reused address.
 */
export function createUpstreamBoard(): UpstreamBoard {
  const records = new Map<string, BoardRecord>();
  let revision = 0;
  let changed = 0;

  const put = (
    record: UpstreamRecord,
    heardAt: Milliseconds,
    silent: boolean,
    concernsRouting: boolean,
  ): void => {
    revision += 1;
    if (concernsRouting) changed = revision;
    const changedIn = concernsRouting ? revision : (records.get(record.id)?.changedIn ?? revision);
    records.set(record.id, { record, heardAt, silent, changedIn, refreshedIn: revision });
  };

  const endFormerHolders = (next: UpstreamRecord, heardAt: Milliseconds): boolean => {
    for (const { record } of [...records.values()]) {
      if (record.id === next.id || record.address !== next.address) continue;
      if (record.state === 'gone') continue;
      if (record.startedAt > next.startedAt) return false;
      put({ ...record, state: 'gone' }, heardAt, false, true);
    }
    return true;
  };

  return {
    get revision() {
      return revision;
    },
    latest: (refreshes) => (refreshes ? revision : changed),
    get records() {
      return [...records.values()];
    },
    take: (record, heardAt) => {
      const held = records.get(record.id);
      if (held !== undefined && !isNewer(record, held.record)) {
        const isSame =
          record.startedAt === held.record.startedAt && record.sequence === held.record.sequence;
        if (isSame && heardAt > held.heardAt) records.set(record.id, { ...held, heardAt });
        return false;
      }
      if (record.state !== 'gone' && !endFormerHolders(record, heardAt)) return false;
      const wasSilent = held?.silent ?? false;
      const differs =
        held === undefined || routingFields(held.record) !== routingFields(record) || wasSilent;
      put(record, heardAt, false, differs);
      return true;
    },
    takeModels: (id, models) => {
      const held = records.get(id);
      if (held === undefined || held.record.state === 'gone') return;
      if (JSON.stringify(held.record.models) === JSON.stringify(models)) return;
      put({ ...held.record, models }, held.heardAt, held.silent, true);
    },
    leave: (id, now) => {
      const held = records.get(id);
      if (held === undefined || held.record.state === 'gone') return;
      put({ ...held.record, state: 'gone' }, now, false, true);
    },
    sweep: (silenceMilliseconds, now) => {
      for (const held of [...records.values()]) {
        const age = now - held.heardAt;
        if (held.record.state === 'gone') {
          if (age > TOMBSTONE_MILLISECONDS) records.delete(held.record.id);
          continue;
        }
        if (!held.silent && age > silenceMilliseconds) put(held.record, held.heardAt, true, true);
      }
    },
    since: (known, refreshes, now) =>
      [...records.values()]
        .filter((held) => (refreshes ? held.refreshedIn : held.changedIn) > known)
        .map(({ record, heardAt, silent }) => ({
          record,
          silent,
          ageMilliseconds: Math.max(0, now - heardAt),
        })),
  };
}
