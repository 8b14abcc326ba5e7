import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type {
  HeldModel,
  LoadVerdicts,
  RelayedDeparture,
  RelayedUpstreamRecord,
  UpstreamDeparture,
  UpstreamRecord,
} from '@burdockrail/protocol/protocolDirectory.js';
import {
  createDepartureRegister,
  DEPARTURE_RETENTION_MILLISECONDS,
  type HeldDeparture,
} from './departureRegister.js';
import { prevailingVerdicts } from './loadVerdicts.js';
import { compareStandings, departedRecord } from './upstreamOrder.js';

/** Start time of an upstream that does not report one. */
const UNKNOWN_START_TIME = 0;

/** Most upstreams; a deployment has some thousand. */
export const MAXIMUM_UPSTREAMS = 8_192;

/** Most upstreams of services that the configuration does not name; anybody may send such records. */
export const MAXIMUM_UNNAMED_UPSTREAMS = 512;

/** A record in the registry. */
export interface RegistryRecord {
  readonly record: UpstreamRecord;
  readonly heardAt: Milliseconds;
  /** True when no heartbeat arrived within the allowed time. */
  readonly silent: boolean;
  /** Registry revision of the last change that affects routing. */
  readonly changedRevision: number;
  /** Registry revision of the last change or heartbeat. */
  readonly refreshedRevision: number;
}

/** What the agent of an upstream said of its loads. */
export interface UpstreamVerdicts {
  readonly id: string;
  readonly loads: LoadVerdicts;
}

/** Records of the upstreams that announced themselves to any control process. */
export interface UpstreamRegistry {
  readonly revision: number;
  /**
   * Applies a heartbeat or forwarded record; returns whether it was newer than the current one.
   *
   * @param isNamed - tells whether the configuration names a service.
   */
  applyRecord(
    record: UpstreamRecord,
    heardAt: Milliseconds,
    isNamed?: (service: string) => boolean,
  ): boolean;
  /** False if a record is of a new upstream and there are too many; it would not be applied. */
  hasRoomFor(record: UpstreamRecord, isNamed?: (service: string) => boolean): boolean;
  /** Sets the models that an engine holds, as reported by the agent on its VM. */
  setModels(id: string, models: readonly HeldModel[]): void;
  /** Records what an agent says of the loads of its engine, also before the engine is known. */
  setVerdicts(id: string, loads: LoadVerdicts, heardAt: Milliseconds): void;
  /** Verdicts by upstream. */
  readonly verdicts: readonly UpstreamVerdicts[];
  /** Changes whenever `verdicts` does. */
  readonly verdictRevision: number;
  /**
   * Applies a departure to what is known of the upstream now and later; returns whether it was later
   * than the departure held for the upstream.
   */
  applyDeparture(departure: UpstreamDeparture, heardAt: Milliseconds): boolean;
  get(id: string): RegistryRecord | undefined;
  departureOf(id: string): UpstreamDeparture | undefined;
  /**
   * Marks records without recent heartbeats as silent, and drops upstreams that are gone, and silent
   * ones of services that the configuration does not name, after a time.
   */
  sweep(
    silenceTimeoutMilliseconds: Milliseconds,
    now: Milliseconds,
    isNamed?: (service: string) => boolean,
  ): void;
  /** Records changed after a revision; with `includeHeartbeats` also those with only a heartbeat. */
  recordsSince(
    knownRevision: number,
    includeHeartbeats: boolean,
    now: Milliseconds,
  ): readonly RelayedUpstreamRecord[];
  /** Departures received after a revision. */
  departuresSince(knownRevision: number, now: Milliseconds): readonly RelayedDeparture[];
  readonly departures: readonly HeldDeparture[];
  /** Latest revision that is relevant to a caller with or without heartbeats. */
  latestRevision(includeHeartbeats: boolean): number;
  readonly records: readonly RegistryRecord[];
}

/** Serializes the fields whose change affects routing. */
function routingFields(record: UpstreamRecord): string {
  const { id, service, address, dataCentre, slots, state, startedAt, models, loads } = record;
  return JSON.stringify([id, service, address, dataCentre, slots, state, startedAt, models, loads]);
}

/**
 * Creates an empty registry.
 *
 * @remarks
 * Of two records of one upstream the later one wins, by {@link compareStandings}. A departure also
 * applies to a record that arrives after it, as from a process that was cut off. An address belongs to the incarnation that started last, so a delayed heartbeat cannot
 * restore the previous holder of a reused address. A record of a service that the configuration does
 * not name may come from anybody, so it takes no address from an upstream that sends heartbeats.
 */
export function createUpstreamRegistry(): UpstreamRegistry {
  const records = new Map<string, RegistryRecord>();
  const departures = createDepartureRegister();
  const departureRevisions = new Map<string, number>();
  const verdicts = new Map<
    string,
    { readonly loads: LoadVerdicts; readonly heardAt: Milliseconds }
  >();
  let revision = 0;
  let routingRevision = 0;
  let verdictRevision = 0;

  /** The record with the verdicts on the loads of its incarnation, whoever brought them. */
  const withVerdicts = (record: UpstreamRecord): UpstreamRecord => {
    const loads = verdicts.get(record.id)?.loads;
    return loads?.startedAt === record.startedAt ? { ...record, loads } : record;
  };

  const recordVerdicts = (id: string, next: LoadVerdicts, heardAt: Milliseconds): void => {
    const known = verdicts.get(id)?.loads;
    const startedAt = records.get(id)?.record.startedAt ?? null;
    const loads = prevailingVerdicts(known, next, startedAt);
    if (JSON.stringify(loads) === JSON.stringify(known)) return;
    verdicts.set(id, { loads, heardAt });
    verdictRevision += 1;
    const current = records.get(id);
    if (current !== undefined && current.record.state !== 'gone')
      store(current.record, current.heardAt, current.silent, true);
  };

  const store = (
    record: UpstreamRecord,
    heardAt: Milliseconds,
    silent: boolean,
    affectsRouting: boolean,
  ): void => {
    revision += 1;
    if (affectsRouting) routingRevision = revision;
    const changedRevision = affectsRouting
      ? revision
      : (records.get(record.id)?.changedRevision ?? revision);
    records.set(record.id, {
      record: withVerdicts(record),
      heardAt,
      silent,
      changedRevision,
      refreshedRevision: revision,
    });
  };

  const hasRoomFor = (
    { id, service }: UpstreamRecord,
    isNamed: (service: string) => boolean,
  ): boolean => {
    if (records.has(id) || records.size < MAXIMUM_UNNAMED_UPSTREAMS) return true;
    if (isNamed(service)) return records.size < MAXIMUM_UPSTREAMS;
    let unnamed = 0;
    for (const { record } of records.values()) if (!isNamed(record.service)) unnamed += 1;
    return unnamed < MAXIMUM_UNNAMED_UPSTREAMS;
  };

  const endPreviousHolders = (
    next: UpstreamRecord,
    heardAt: Milliseconds,
    isNamed: (service: string) => boolean,
  ): boolean => {
    const isNextNamed = isNamed(next.service);
    for (const { record, silent } of [...records.values()]) {
      if (record.id === next.id || record.address !== next.address) continue;
      if (record.state === 'gone') continue;
      const isHolderNamed = isNamed(record.service);
      if (isHolderNamed && !isNextNamed && !silent) return false;
      // Two incarnations with known starts cannot have begun at one address at the same time.
      const isCopy = record.startedAt === next.startedAt && next.startedAt !== UNKNOWN_START_TIME;
      // Either may be the copy, so the silent one gives way but may return.
      if (isCopy && silent) continue;
      const isEarlier = isCopy || record.startedAt > next.startedAt;
      if (isEarlier && (isHolderNamed || !isNextNamed)) return false;
      store({ ...record, state: 'gone' }, heardAt, false, true);
    }
    return true;
  };

  return {
    get revision() {
      return revision;
    },
    latestRevision: (includeHeartbeats) => (includeHeartbeats ? revision : routingRevision),
    get records() {
      return [...records.values()];
    },
    get: (id) => records.get(id),
    departureOf: (id) => departures.get(id),
    get departures() {
      return departures.held;
    },
    hasRoomFor: (record, isNamed = () => true) => hasRoomFor(record, isNamed),
    applyRecord: (received, heardAt, isNamed = () => true) => {
      if (!hasRoomFor(received, isNamed)) return false;
      if (received.loads !== undefined) recordVerdicts(received.id, received.loads, heardAt);
      const record = withVerdicts(departedRecord(received, departures.get(received.id)));
      const current = records.get(record.id);
      if (current !== undefined && compareStandings(record, current.record) <= 0) {
        const isRepeated =
          record.startedAt === current.record.startedAt &&
          record.sequence === current.record.sequence;
        if (isRepeated && heardAt > current.heardAt)
          records.set(record.id, { ...current, heardAt });
        return false;
      }
      if (record.state !== 'gone' && !endPreviousHolders(record, heardAt, isNamed)) return false;
      const wasSilent = current?.silent ?? false;
      const isRoutingChange =
        current === undefined ||
        routingFields(current.record) !== routingFields(record) ||
        wasSilent;
      store(record, heardAt, false, isRoutingChange);
      return true;
    },
    setModels: (id, models) => {
      const current = records.get(id);
      if (current === undefined || current.record.state === 'gone') return;
      if (JSON.stringify(current.record.models) === JSON.stringify(models)) return;
      store({ ...current.record, models }, current.heardAt, current.silent, true);
    },
    setVerdicts: recordVerdicts,
    get verdicts() {
      return [...verdicts].map(([id, { loads }]) => ({ id, loads }));
    },
    get verdictRevision() {
      return verdictRevision;
    },
    applyDeparture: (departure, heardAt) => {
      if (!departures.apply(departure, heardAt)) return false;
      revision += 1;
      routingRevision = revision;
      departureRevisions.set(departure.id, revision);
      const current = records.get(departure.id);
      if (current === undefined) return true;
      const record = departedRecord(current.record, departure);
      if (record !== current.record) store(record, heardAt, false, true);
      return true;
    },
    sweep: (silenceTimeoutMilliseconds, now, isNamed = () => true) => {
      departures.expire(now);
      for (const id of departureRevisions.keys())
        if (departures.get(id) === undefined) departureRevisions.delete(id);
      for (const [id, { heardAt }] of verdicts) {
        if (records.has(id) || now - heardAt <= DEPARTURE_RETENTION_MILLISECONDS) continue;
        verdicts.delete(id);
        verdictRevision += 1;
      }
      for (const current of [...records.values()]) {
        const age = now - current.heardAt;
        if (current.record.state === 'gone') {
          if (age > DEPARTURE_RETENTION_MILLISECONDS) records.delete(current.record.id);
          continue;
        }
        if (age > DEPARTURE_RETENTION_MILLISECONDS && !isNamed(current.record.service))
          store({ ...current.record, state: 'gone' }, now, true, true);
        else if (!current.silent && age > silenceTimeoutMilliseconds)
          store(current.record, current.heardAt, true, true);
      }
    },
    departuresSince: (knownRevision, now) =>
      departures.held
        .filter(({ departure }) => (departureRevisions.get(departure.id) ?? 0) > knownRevision)
        .map(({ departure, heardAt }) => ({
          departure,
          ageMilliseconds: Math.max(0, now - heardAt),
        })),
    recordsSince: (knownRevision, includeHeartbeats, now) =>
      [...records.values()]
        .filter(
          (current) =>
            (includeHeartbeats ? current.refreshedRevision : current.changedRevision) >
            knownRevision,
        )
        .map(({ record, heardAt, silent }) => ({
          record,
          silent,
          ageMilliseconds: Math.max(0, now - heardAt),
        })),
  };
}
