import { setTimeout as pause } from 'node:timers/promises';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { createUpstreamBoard, type UpstreamBoard } from '@burdockrail/membership/upstreamBoard.js';
import { formatAddress } from '@burdockrail/protocol/protocolAddress.js';
import type {
  ControlPeer,
  CrashSighting,
  DirectoryUpdateSet,
  DirectoryWatch,
  NamedWeights,
  PackedConfiguration,
  SharedRecord,
  UpstreamRecord,
} from '@burdockrail/protocol/protocolDirectory.js';
import type { PeerHandlers } from '@burdockrail/transport/peerHandlers.js';
import { createChangeSignal } from './changeSignal.js';
import type { ControlGroup } from './controlGroup.js';
import { parseAddress } from './controlAddresses.js';
import type { GatewayContext } from './gatewayContext.js';
import type { ControlSettings } from './gatewaySettings.js';
import { namingAge } from './versionRule.js';

/** Heartbeats that may stay out before an upstream counts as silent. */
const MISSED_HEARTBEATS = 3;

/** Time beyond the missed heartbeats, for one that is on its way, in milliseconds. */
const HEARTBEAT_SLACK_MILLISECONDS = 900;

/** Interval at which records are looked at, in milliseconds. */
const SWEEP_MILLISECONDS = 250;

/** Time for which changes are collected into one answer, in milliseconds. */
const COLLECT_MILLISECONDS = 15;

/** Longest time for which one control process holds back its answer to another, in milliseconds. */
const RELAY_WAIT_MILLISECONDS = 300;

/** Time beyond the wait after which a connection between control processes is given up. */
const RELAY_ANSWER_MILLISECONDS = 500;

/** Pause after a failed call to another control process, in milliseconds. */
const RELAY_PAUSE_MILLISECONDS = 200;

/** Time for which an entry counts after its last watch, in milliseconds. */
const ENTRY_SEEN_MILLISECONDS = 3_000;

/** Crash sightings that are kept and passed on, the newest ones. */
const MAXIMUM_CRASHES = 200;

/** What a control process knows of upstreams, and the watches by which others share it. */
export interface ControlBoard extends AsyncDisposable {
  readonly board: UpstreamBoard;
  /** Takes a heartbeat; tells whether it was newer than what is held. */
  heard(record: UpstreamRecord): boolean;
  left(id: string): void;
  /** Wakes watchers after the group's state changed. */
  stateChanged(): void;
  start(): void;
  readonly handlers: Partial<PeerHandlers>;
}

interface SeenPeer {
  readonly dataCentre: string;
  readonly at: Milliseconds;
}

/** Creates the board of a control process. */
export function createControlBoard(
  context: GatewayContext,
  control: ControlSettings,
  group: ControlGroup,
): ControlBoard {
  const { settings, time, log, client, identity } = context;
  const self = formatAddress(control.internal);
  const startedAt = time.now();
  const board = createUpstreamBoard();
  const signal = createChangeSignal();
  const stop = new AbortController();
  const controls = new Map<string, SeenPeer>();
  const entries = new Map<string, Milliseconds>();
  const entriesOfPeers = new Map<string, { readonly count: number; readonly at: Milliseconds }>();
  const weightsKnownAt = new Map<string, Milliseconds>();
  const relays = new Map<string, Promise<void>>();
  let crashes: readonly CrashSighting[] = [];
  let crashRevision = 0;
  const silence =
    MISSED_HEARTBEATS * settings.bounds.heartbeatMilliseconds + HEARTBEAT_SLACK_MILLISECONDS;

  const noteChange = (record: UpstreamRecord, source: string): void => {
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

  const take = (record: UpstreamRecord, heardAt: Milliseconds, source: string): boolean => {
    const before = board.latest(false);
    const taken = board.take(record, heardAt);
    if (board.latest(false) !== before) noteChange(record, source);
    if (taken) signal.notify();
    return taken;
  };

  /**
   * Ages of the namings: by the time that this process has known of them, or by the time of day of
   * their naming if that is longer, since a process that has just started knows of them for a moment.
   */
  const namedWeights = (now: Milliseconds): readonly NamedWeights[] =>
    group.state.weights.map(({ model, version, namedAt }) => {
      const key = `${model}@${version}`;
      const since = weightsKnownAt.get(key) ?? now;
      weightsKnownAt.set(key, since);
      return { model, version, ageMilliseconds: namingAge(now - since, namedAt, Date.now()) };
    });

  const ownEntries = (now: Milliseconds): number =>
    [...entries.values()].filter((at) => now - at < ENTRY_SEEN_MILLISECONDS).length;

  const allEntries = (now: Milliseconds): number => {
    const peers = [...entriesOfPeers.values()].filter(
      ({ at }) => now - at < ENTRY_SEEN_MILLISECONDS,
    );
    return ownEntries(now) + peers.reduce((sum, { count }) => sum + count, 0);
  };

  const controlPeers = (): readonly ControlPeer[] => {
    const members = group.members.map((address) => ({
      address,
      dataCentre:
        address === self ? settings.dataCentre : (controls.get(address)?.dataCentre ?? ''),
    }));
    return members;
  };

  const configurationFor = (version: number): PackedConfiguration | null => {
    const held = group.state.configuration;
    return held !== null && held.version > version ? held : null;
  };

  const addCrashes = (sightings: readonly CrashSighting[]): void => {
    const isKnown = (sighting: CrashSighting): boolean =>
      crashes.some(
        ({ content, upstream }) => content === sighting.content && upstream === sighting.upstream,
      );
    const fresh = sightings.filter((sighting) => !isKnown(sighting));
    if (fresh.length === 0) return;
    crashes = [...crashes, ...fresh].slice(-MAXIMUM_CRASHES);
    crashRevision += fresh.length;
    signal.notify();
  };

  const newCrashes = (known: number): readonly CrashSighting[] => {
    const fresh = Math.min(crashes.length, crashRevision - known);
    return fresh <= 0 ? [] : crashes.slice(-fresh);
  };

  const confirmedAge = (): number | null =>
    group.host.replica.groupId === null || !Number.isFinite(group.host.ageMilliseconds)
      ? null
      : Math.round(group.host.ageMilliseconds);

  const noteCaller = (watch: DirectoryWatch, name: string, dataCentre: string): void => {
    const now = time.now();
    if (watch.role === 'entry') entries.set(name, now);
    if (watch.role === 'control') {
      controls.set(watch.caller, { dataCentre, at: now });
      group.addContacts([watch.caller]);
    }
    if (watch.engine !== undefined) {
      const before = board.latest(false);
      board.takeModels(watch.engine.id, watch.engine.models);
      if (board.latest(false) !== before) signal.notify();
    }
    addCrashes(watch.crashes);
  };

  const weightsMark = (): string => JSON.stringify(group.state.weights);

  const answerWatch = async (
    watch: DirectoryWatch,
    caller: { readonly name: string; readonly dataCentre: string },
    aborted: AbortSignal,
  ): Promise<DirectoryUpdateSet> => {
    noteCaller(watch, caller.name, caller.dataCentre);
    const isKnown = watch.control === identity.incarnation;
    const known = isKnown ? watch.revision : 0;
    const newConfiguration = (): PackedConfiguration | null =>
      watch.relay ? null : configurationFor(watch.configurationVersion);
    const weights = weightsMark();
    const knownCrashes = isKnown ? watch.crashRevision : 0;
    const hasNews = (): boolean =>
      !isKnown ||
      board.latest(false) > known ||
      newConfiguration() !== null ||
      weightsMark() !== weights ||
      crashRevision > knownCrashes;
    const deadline = time.now() + watch.waitMilliseconds;
    while (!hasNews() && time.now() < deadline && !aborted.aborted) {
      await signal.wait(Math.max(1, deadline - time.now()), aborted);
      if (hasNews()) await pause(COLLECT_MILLISECONDS);
    }
    const now = time.now();
    const records: readonly SharedRecord[] = board.since(known, watch.relay, now);
    return {
      control: identity.incarnation,
      revision: board.revision,
      complete: known === 0,
      upMilliseconds: now - startedAt,
      records,
      configuration: newConfiguration(),
      weights: namedWeights(now),
      confirmedAgeMilliseconds: confirmedAge(),
      controls: controlPeers(),
      entries: watch.relay ? ownEntries(now) : allEntries(now),
      crashRevision,
      crashes: newCrashes(knownCrashes),
    };
  };

  const hasStopped = (): boolean => stop.signal.aborted;

  /** Watches one other control process until it is no longer a contact. */
  const relay = async (address: string): Promise<void> => {
    let peer = '';
    let revision = 0;
    let knownCrashes = 0;
    let lost = false;
    while (!stop.signal.aborted) {
      const connection = client.to(parseAddress(address));
      try {
        const update = await connection.call(
          'directory.watch',
          {
            control: peer,
            revision,
            configurationVersion: 0,
            waitMilliseconds: RELAY_WAIT_MILLISECONDS,
            relay: true,
            caller: self,
            role: 'control',
            crashRevision: knownCrashes,
            crashes: [],
          },
          {
            timeoutMilliseconds: RELAY_WAIT_MILLISECONDS + RELAY_ANSWER_MILLISECONDS,
            signal: stop.signal,
          },
        );
        const now = time.now();
        peer = update.control;
        revision = update.revision;
        knownCrashes = update.crashRevision;
        for (const { record, ageMilliseconds } of update.records) {
          take(record, now - ageMilliseconds, address);
        }
        entriesOfPeers.set(address, { count: update.entries, at: now });
        addCrashes(update.crashes);
        group.addContacts(update.controls.map((known) => known.address));
        if (lost) log.write('controlRegained', { control: address });
        lost = false;
      } catch (error) {
        connection.destroy();
        if (hasStopped()) return;
        if (!lost) log.write('controlLost', { control: address, reason: String(error) });
        lost = true;
        await pause(RELAY_PAUSE_MILLISECONDS);
      }
    }
  };

  const startRelays = (): void => {
    const wanted = new Set([...settings.seeds.map(formatAddress), ...group.members]);
    for (const address of [...wanted, ...controls.keys()]) {
      if (address !== self && !relays.has(address)) relays.set(address, relay(address));
    }
  };

  const sweep = (): void => {
    const before = board.latest(false);
    board.sweep(silence, time.now());
    if (board.latest(false) !== before) signal.notify();
    startRelays();
  };
  let timer: NodeJS.Timeout | undefined;

  return {
    board,
    heard: (record) => take(record, time.now(), 'heartbeat'),
    left: (id) => {
      board.leave(id, time.now());
      signal.notify();
      log.write('upstreamChanged', { upstream: id, state: 'gone', source: 'upstream' });
    },
    stateChanged: () => {
      namedWeights(time.now());
      signal.notify();
    },
    start: () => {
      timer = setInterval(sweep, SWEEP_MILLISECONDS);
      startRelays();
    },
    handlers: {
      calls: {
        'directory.watch': async (watch, { peer, signal: aborted }) =>
          answerWatch(watch, peer, aborted),
      },
    },
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      clearInterval(timer);
      signal.notify();
      await Promise.all(relays.values());
    },
  };
}
