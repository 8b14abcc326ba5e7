import { setTimeout as pause } from 'node:timers/promises';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { UpstreamRegistry } from '@burdockrail/membership/upstreamRegistry.js';
import { createPeerContact } from '@burdockrail/membership/peerContact.js';
import { isHeldModels, isLoadVerdicts } from '@burdockrail/membership/upstreamRecordCheck.js';
import { formatAddress } from '@burdockrail/protocol/protocolAddress.js';
import type {
  ControlPeer,
  TraitFinding,
  DirectoryWatchReply,
  DirectoryWatch,
  DesiredWeights,
  CompressedConfiguration,
  RelayedUpstreamRecord,
  UpstreamRecord,
} from '@burdockrail/protocol/protocolDirectory.js';
import type { PeerHandlers } from '@burdockrail/transport/peerHandlers.js';
import { createChangeSignal } from './changeSignal.js';
import { createConfiguredServices } from './configuredServices.js';
import { createControlDepartures } from './controlDepartures.js';
import type { ControlGroup } from './controlGroup.js';
import type { OpenedDepartureStore } from './departureStore.js';
import { createEntryCounts } from './entryCounts.js';
import { createFindingLog } from './findingLog.js';
import { parseAddress } from './controlAddresses.js';
import type { GatewayContext } from './gatewayContext.js';
import type { ControlSettings } from './gatewaySettings.js';
import { createMemberParts } from './memberParts.js';
import { createNamedWeights } from './namedWeights.js';
import { createUpstreamRecordFilter } from './upstreamRecordFilter.js';
import type { VerdictStore } from './verdictStore.js';

/** Missed heartbeats after which an upstream counts as silent. */
const MISSED_HEARTBEATS = 3;

/** Additional time for a heartbeat in transit, in milliseconds. */
const HEARTBEAT_GRACE_MILLISECONDS = 900;

/** Interval at which records are checked for silence, in milliseconds. */
const SWEEP_INTERVAL_MILLISECONDS = 250;

/** Time for which changes are batched into one answer, in milliseconds. */
const BATCH_WINDOW_MILLISECONDS = 15;

/** Long-poll duration between control processes, in milliseconds. */
const PEER_WATCH_WAIT_MILLISECONDS = 300;

/** Time beyond the long poll after which a connection to a peer is destroyed, in milliseconds. */
const PEER_ANSWER_MARGIN_MILLISECONDS = 500;

/** Delay after a failed call to another control process, in milliseconds. */
const PEER_RETRY_DELAY_MILLISECONDS = 200;

/** Upstream directory of a control process, which answers the watches of other processes. */
export interface ControlDirectory extends AsyncDisposable {
  readonly upstreams: UpstreamRegistry;
  /** Records a heartbeat; returns whether it was newer than the stored one. */
  recordHeartbeat(record: UpstreamRecord): boolean;
  /** False if there are too many upstreams to take a new one. */
  hasRoomFor(record: UpstreamRecord): boolean;
  /** Records that an upstream left by its own request; see {@link ControlDepartures}. */
  recordLeave(id: string, startedAt: number | null): Promise<boolean>;
  /** Records that an upstream drains; see {@link ControlDepartures}. */
  recordDraining(record: UpstreamRecord): Promise<boolean>;
  /** Notifies watchers of a change in the group's state. */
  stateChanged(): void;
  start(): void;
  readonly handlers: Partial<PeerHandlers>;
}

interface KnownControl {
  readonly dataCentre: string;
  readonly seenAt: Milliseconds;
}

/** Options of {@link createControlDirectory}. */
export interface ControlDirectoryOptions {
  readonly context: GatewayContext;
  readonly control: ControlSettings;
  readonly group: ControlGroup;
  readonly upstreams: UpstreamRegistry;
  readonly departureStore: OpenedDepartureStore;
  readonly verdictStore: VerdictStore;
}

/** Creates the directory of a control process. */
export function createControlDirectory(options: ControlDirectoryOptions): ControlDirectory {
  const { context, control, group, upstreams, departureStore, verdictStore } = options;
  const { settings, time, log, client, identity } = context;
  const self = formatAddress(control.internal);
  const peerContact = createPeerContact(time.now());
  const changes = createChangeSignal();
  const stop = new AbortController();
  const knownControls = new Map<string, KnownControl>();
  const entryCounts = createEntryCounts(self);
  const namings = createNamedWeights(settings.bounds);
  const memberParts = createMemberParts();
  const peerWatches = new Map<string, Promise<void>>();
  const findings = createFindingLog();
  const recordFilter = createUpstreamRecordFilter(log);
  const isNamedService = createConfiguredServices(context.dialect, () => group.state.configuration);
  const silenceLimitMilliseconds =
    MISSED_HEARTBEATS * settings.bounds.heartbeatMilliseconds + HEARTBEAT_GRACE_MILLISECONDS;

  const logUpstreamChange = (record: UpstreamRecord, source: string): void => {
    log.write('upstreamChanged', {
      upstream: record.id,
      service: record.service,
      address: record.address,
      state: record.state,
      startedAt: record.startedAt,
      sequence: record.sequence,
      models: record.models.map(({ model, version }) => `${model}@${version}`).join(','),
      source,
    });
  };

  const applyRecord = (record: UpstreamRecord, heardAt: Milliseconds, source: string): boolean => {
    const previousRevision = upstreams.latestRevision(false);
    const isNewer = upstreams.applyRecord(record, heardAt, isNamedService);
    if (upstreams.latestRevision(false) !== previousRevision) logUpstreamChange(record, source);
    if (!isNewer) return false;
    changes.notify();
    if (upstreams.get(record.id)?.record.state === 'ready') departures.recordReady(record.id);
    return true;
  };

  const departures = createControlDepartures({
    context,
    self,
    upstreams,
    store: departureStore,
    recordFilter,
    voters: () => group.voters,
    onChange: () => {
      changes.notify();
    },
    stopped: stop.signal,
  });

  const namedWeights = (now: Milliseconds): readonly DesiredWeights[] =>
    namings.inForce(group.state.weights, now, Date.now());

  /**
   * Each member of the group divides an equal part among the entries that watch it. Members don't
   * need to reach each other for that, and the sum stays the same however they are cut off.
   */
  const entryShares = (now: Milliseconds): number | null => {
    const parts = memberParts.count(group.members, now);
    return group.members.includes(self) ? parts * Math.max(1, entryCounts.own(now)) : null;
  };

  const controlPeers = (): readonly ControlPeer[] => {
    const members = group.members.map((address) => ({
      address,
      dataCentre:
        address === self ? settings.dataCentre : (knownControls.get(address)?.dataCentre ?? ''),
    }));
    return members;
  };

  const newerConfiguration = (version: number): CompressedConfiguration | null => {
    const held = group.state.configuration;
    return held !== null && held.version > version ? held : null;
  };

  const addFindings = (reported: readonly TraitFinding[]): void => {
    if (findings.add(reported)) changes.notify();
  };

  const confirmedAge = (): number | null =>
    group.host.replica.groupId === null || !Number.isFinite(group.host.confirmedAgeMilliseconds)
      ? null
      : Math.round(group.host.confirmedAgeMilliseconds);

  const recordWatcher = (watch: DirectoryWatch, name: string, dataCentre: string): void => {
    const now = time.now();
    if (watch.role === 'entry') entryCounts.recordWatch(name, now);
    if (watch.role === 'control') {
      knownControls.set(watch.caller, { dataCentre, seenAt: now });
      group.addContacts([watch.caller]);
    }
    if (watch.engine !== undefined && isHeldModels(watch.engine.models)) {
      const previousRevision = upstreams.latestRevision(false);
      upstreams.setModels(watch.engine.id, watch.engine.models);
      const { loads } = watch.engine;
      if (isLoadVerdicts(loads)) upstreams.setVerdicts(watch.engine.id, loads, now);
      if (upstreams.latestRevision(false) !== previousRevision) changes.notify();
    }
    addFindings(watch.findings);
  };

  const weightsFingerprint = (): string => JSON.stringify(group.state.weights);

  const answerWatch = async (
    watch: DirectoryWatch,
    watcher: { readonly name: string; readonly dataCentre: string },
    aborted: AbortSignal,
  ): Promise<DirectoryWatchReply> => {
    recordWatcher(watch, watcher.name, watcher.dataCentre);
    const isSameIncarnation = watch.control === identity.incarnation;
    const knownRevision = isSameIncarnation ? watch.revision : 0;
    const newConfiguration = (): CompressedConfiguration | null =>
      watch.relay ? null : newerConfiguration(watch.configurationVersion);
    const weightsBefore = weightsFingerprint();
    const knownFindings = isSameIncarnation ? watch.findingRevision : 0;
    const hasChanges = (): boolean =>
      !isSameIncarnation ||
      upstreams.latestRevision(false) > knownRevision ||
      newConfiguration() !== null ||
      weightsFingerprint() !== weightsBefore ||
      findings.revision > knownFindings;
    const deadline = time.now() + watch.waitMilliseconds;
    while (!hasChanges() && time.now() < deadline && !aborted.aborted) {
      await changes.wait(Math.max(1, deadline - time.now()), aborted);
      if (hasChanges()) await pause(BATCH_WINDOW_MILLISECONDS);
    }
    const now = time.now();
    const records: readonly RelayedUpstreamRecord[] = upstreams.recordsSince(
      knownRevision,
      watch.relay,
      now,
    );
    return {
      control: identity.incarnation,
      revision: upstreams.revision,
      complete: knownRevision === 0,
      informedMilliseconds: informedMilliseconds(now),
      records,
      departures: upstreams.departuresSince(knownRevision, now),
      configuration: newConfiguration(),
      weights: namedWeights(now),
      confirmedAgeMilliseconds: confirmedAge(),
      controls: controlPeers(),
      entries: watch.relay ? entryCounts.own(now) : entryCounts.all(now),
      entryShares: entryShares(now),
      entryIndex: watch.role === 'entry' ? entryCounts.indexOf(watcher.name, now) : 0,
      findingRevision: findings.revision,
      findings: findings.since(knownFindings),
    };
  };

  const informedMilliseconds = (now: Milliseconds): Milliseconds =>
    peerContact.informedMilliseconds(
      group.voters.filter((voter) => voter !== self),
      now,
    );

  const isStopped = (): boolean => stop.signal.aborted;

  /** Watches one other control process until this process stops. */
  const watchPeer = async (address: string): Promise<void> => {
    let peerIncarnation = '';
    let revision = 0;
    let knownFindings = 0;
    let isLost = false;
    while (!stop.signal.aborted) {
      const connection = client.connectionTo(parseAddress(address));
      try {
        const update = await connection.call(
          'directory.watch',
          {
            control: peerIncarnation,
            revision,
            configurationVersion: 0,
            waitMilliseconds: PEER_WATCH_WAIT_MILLISECONDS,
            relay: true,
            caller: self,
            role: 'control',
            findingRevision: knownFindings,
            findings: [],
          },
          {
            timeoutMilliseconds: PEER_WATCH_WAIT_MILLISECONDS + PEER_ANSWER_MARGIN_MILLISECONDS,
            signal: stop.signal,
          },
        );
        const now = time.now();
        peerIncarnation = update.control;
        revision = update.revision;
        knownFindings = update.findingRevision;
        departures.applyRelayed(update.departures, address);
        const records = recordFilter.usable(update.records, Date.now());
        for (const { record, ageMilliseconds } of records) {
          applyRecord(record, now - ageMilliseconds, address);
        }
        entryCounts.recordPeer(address, update.entries, now);
        peerContact.recordAnswer(address, now);
        addFindings(update.findings);
        group.addContacts(update.controls.map((known) => known.address));
        if (isLost) log.write('controlRegained', { control: address });
        isLost = false;
      } catch (error) {
        connection.destroy();
        if (isStopped()) return;
        if (!isLost) log.write('controlLost', { control: address, reason: String(error) });
        isLost = true;
        await pause(PEER_RETRY_DELAY_MILLISECONDS);
      }
    }
  };

  const watchNewPeers = (): void => {
    const addresses = new Set([...settings.seeds.map(formatAddress), ...group.members]);
    for (const address of [...addresses, ...knownControls.keys()]) {
      if (address !== self && !peerWatches.has(address))
        peerWatches.set(address, watchPeer(address));
    }
  };

  const sweep = (): void => {
    informedMilliseconds(time.now());
    const previousRevision = upstreams.latestRevision(false);
    upstreams.sweep(silenceLimitMilliseconds, time.now(), isNamedService);
    if (upstreams.latestRevision(false) !== previousRevision) changes.notify();
    verdictStore.writeChanges();
    watchNewPeers();
  };
  let timer: NodeJS.Timeout | undefined;

  return {
    upstreams,
    recordHeartbeat: (record) => applyRecord(record, time.now(), 'heartbeat'),
    hasRoomFor: (record) => upstreams.hasRoomFor(record, isNamedService),
    recordLeave: async (id, statedStart) => departures.recordLeave(id, statedStart),
    recordDraining: async (record) => departures.recordDraining(record),
    stateChanged: () => {
      namedWeights(time.now());
      changes.notify();
    },
    start: () => {
      timer = setInterval(sweep, SWEEP_INTERVAL_MILLISECONDS);
      watchNewPeers();
    },
    handlers: {
      calls: {
        'directory.watch': async (watch, { peer, signal: aborted }) =>
          answerWatch(watch, peer, aborted),
        'directory.depart': async (handover, { peer }) => {
          await departures.take(handover, peer.name);
          return {};
        },
      },
    },
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      clearInterval(timer);
      changes.notify();
      await Promise.all(peerWatches.values());
    },
  };
}
