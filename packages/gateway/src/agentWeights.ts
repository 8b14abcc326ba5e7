import { setTimeout as pause } from 'node:timers/promises';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { packChunks } from '@burdockrail/rollout/chunkBits.js';
import type { ChunkPeer } from '@burdockrail/rollout/chunkDuties.js';
import { createStagingProgress, loadTurnAt } from '@burdockrail/rollout/loadTurn.js';
import { createPacer } from '@burdockrail/rollout/rolloutPacer.js';
import { formatAddress } from '@burdockrail/protocol/protocolAddress.js';
import type { ChunkRead } from '@burdockrail/protocol/protocolDirectory.js';
import type { PeerHandlers, StreamSink } from '@burdockrail/transport/peerHandlers.js';
import { agentAddress, fetchChunks } from './chunkFetch.js';
import { parseAddress } from './controlAddresses.js';
import { supersededAt } from './versionRule.js';
import { createHttpClient, type HttpClient } from './httpClient.js';
import type { WeightsName } from './dialect.js';
import type { EngineMonitor } from './engineMonitor.js';
import type { ClusterView } from './clusterView.js';
import type { GatewayContext } from './gatewayContext.js';
import type { AgentSettings } from './gatewaySettings.js';
import { fetchManifest } from './weightsManifest.js';
import { createStagedChunks, type StagedChunks } from './stagedChunks.js';

/** Version that engines serve before any other is named. */
const FIRST_VERSION = 1;

/** Pause between two looks at the engine, in milliseconds. */
const CHECK_INTERVAL_MILLISECONDS = 120;

/** Bound on an order or a manifest, in milliseconds. */
const CALL_TIMEOUT_MILLISECONDS = 2_000;

/** Time before a load in which only requests that end by then are let in, in milliseconds. */
const LOAD_DRAIN_MILLISECONDS = 2_000;

/** Share of the link each way that weights may use; the rest is for requests and grants. */
const WEIGHTS_LINK_FRACTION = 0.8;

/** Part of a chunk that is sent in one go, in bytes: requests on the same link wait for one at most. */
const PART_BYTES = 8_192;

const MILLISECONDS_PER_SECOND = 1_000;

const BYTES_PER_MEGABIT = 125_000;

const SUCCESS_STATUS = 200;
const ACCEPTED_STATUS = 202;
const FENCED_STATUS = 412;

/** Step by which a fencing token rises after a refusal: a minute of a clock in milliseconds. */
const FENCE_STEP = 60_000;

/** Brings an engine to the version of weights that is wanted. */
export interface AgentWeights extends AsyncDisposable {
  start(): void;
  /** The engine restarted, so nothing that was staged is known to be there. */
  engineRestarted(): void;
  readonly handlers: Partial<PeerHandlers>;
}

/** Options of {@link createAgentWeights}. */
export interface AgentWeightsOptions {
  readonly context: GatewayContext;
  readonly agent: AgentSettings;
  readonly clusterView: ClusterView;
  readonly engineClient: HttpClient;
  readonly engineMonitor: EngineMonitor;
  /** Whether the engine holds weights that may be served now. */
  readonly hasServableWeights: () => boolean;
  /** Lets only requests in that end by a time. */
  readonly closeAt: (time: Milliseconds | null) => void;
}

/**
 * Creates the keeper of an engine's weights.
 *
 * @remarks
 * Everything staged is read back and checked right before the order that loads it, because an engine
 * loads what lies there at that moment and checks nothing.
 */
export function createAgentWeights(options: AgentWeightsOptions): AgentWeights {
  const { context, agent, clusterView, engineClient, engineMonitor } = options;
  const { dialect, log, time, settings } = context;
  const self = formatAddress(agent.internal);
  const stop = new AbortController();
  const stagedSets = new Map<string, StagedChunks>();
  let origin: { readonly address: string; readonly caller: HttpClient } | null = null;
  let rollout = new AbortController();
  let running: Promise<void> = Promise.resolve();
  const stagingProgress = createStagingProgress();
  let isPreparing = false;
  let fencingToken = Date.now();
  const linkBytesPerSecond = agent.linkMegabits * BYTES_PER_MEGABIT;
  const isLoaded = (): boolean => (engineMonitor.report(time.now())?.models.length ?? 0) > 0;
  /** Weights get the whole link while no request could be served anyway. */
  const weightsBytesPerSecond = (): number =>
    linkBytesPerSecond * (options.hasServableWeights() ? WEIGHTS_LINK_FRACTION : 1);
  const uplink = createPacer(weightsBytesPerSecond);
  const downlink = createPacer(weightsBytesPerSecond);

  const originClient = (): HttpClient | null => {
    const services = clusterView.table?.configuration.services ?? [];
    const address = services.find((service) => service.origin !== null)?.origin?.address;
    if (address === undefined) return null;
    if (origin?.address !== address) {
      origin = { address, caller: createHttpClient(parseAddress(address), settings.host) };
    }
    return origin.caller;
  };

  const peers = (): readonly ChunkPeer[] =>
    clusterView.directory.entries
      .filter(({ record, silent }) => record.service === agent.service && !silent)
      .map(({ record }) => ({
        agent: agentAddress(record.address, agent.internal.port),
        region: settings.regions[record.dataCentre] ?? record.dataCentre,
      }))
      .filter((peer) => peer.agent !== self);

  /** What the engine should serve and does not; `null` when all is well. */
  const findTarget = (): WeightsName | null => {
    const report = engineMonitor.report(time.now());
    const models = clusterView.table?.service(agent.service)?.engine?.models ?? [];
    if (report === null) return null;
    for (const model of models) {
      const inUse = clusterView.directory.entries
        .flatMap(({ record }) => record.models)
        .filter((held) => held.model === model)
        .map(({ version }) => version);
      const named =
        clusterView.weightsOf(model).at(-1)?.version ?? Math.max(FIRST_VERSION, ...inUse);
      const held = report.models.find((known) => known.model === model);
      if (held === undefined || held.version < named) return { model, version: named };
    }
    return null;
  };

  const stagedSet = async (target: WeightsName): Promise<StagedChunks | null> => {
    const key = `${target.model} ${target.version}`;
    const known = stagedSets.get(key);
    if (known !== undefined) return known;
    const client = originClient();
    if (client === null) return null;
    const manifest = await fetchManifest(context, client, target);
    if (manifest === null) return null;
    // A version takes the place of the one before it in the engine's staging.
    stagedSets.clear();
    const created = createStagedChunks(
      engineClient,
      dialect.weights,
      target.model,
      target.version,
      manifest,
    );
    stagedSets.set(key, created);
    // An engine that serves another version has that one's chunks staged, if any.
    const report = engineMonitor.report(time.now());
    const isOther = report?.models.some((held) => held.version !== target.version) ?? false;
    if (!isOther) await created.verifyAll();
    return created;
  };

  const isFullyStaged = (staged: StagedChunks): boolean =>
    staged.verified.size === staged.manifest.digests.length;

  const isStillTarget = (target: WeightsName): boolean => {
    const currentTarget = findTarget();
    return currentTarget?.model === target.model && currentTarget.version === target.version;
  };

  const orderLoad = async (target: WeightsName): Promise<void> => {
    const report = await engineMonitor.refresh();
    if (report === null || report.busy) return;
    const request = dialect.weights.load({ ...target, orders: report.orders, fence: fencingToken });
    const { status, body } = await engineClient.call(request, CALL_TIMEOUT_MILLISECONDS);
    const isAccepted = status === SUCCESS_STATUS || status === ACCEPTED_STATUS;
    // A clock that was set back, or a former agent, leaves a higher token at the engine.
    if (status === FENCED_STATUS) fencingToken += FENCE_STEP;
    log.write('weightsOrdered', {
      model: target.model,
      version: target.version,
      orders: report.orders,
      status,
      outcome: isAccepted ? 'begun' : body.toString('utf8').slice(0, 120),
    });
    await engineMonitor.refresh();
  };

  const loadTurnOf = (target: WeightsName): Milliseconds => {
    const held = engineMonitor
      .report(time.now())
      ?.models.find(({ model }) => model === target.model);
    return loadTurnAt({
      set: `${target.model} ${target.version}`,
      self,
      agents: [...peers().map(({ agent: peer }) => peer), self],
      // An older version ends by the first naming after it, however many follow.
      namedAt: supersededAt(held?.version ?? 0, clusterView.weightsOf(target.model)) ?? time.now(),
      boundMilliseconds: settings.bounds.versionMilliseconds,
    });
  };

  /** Lets only requests in that end before the load, once the time of the load can be told. */
  const limitAdmissionBeforeLoad = (target: WeightsName): void => {
    const staged = stagedSets.get(`${target.model} ${target.version}`);
    if (staged === undefined || !isLoaded()) return;
    const now = time.now();
    stagingProgress.note(staged.verified.size, now);
    const stagedAt = stagingProgress.expectedAt(staged.manifest.digests.length, now);
    const loadAt = Math.max(stagedAt, loadTurnOf(target));
    options.closeAt(loadAt - now < LOAD_DRAIN_MILLISECONDS ? loadAt : null);
  };

  /** One step towards the target. */
  const rollOut = async (target: WeightsName): Promise<void> => {
    const staged = await stagedSet(target);
    if (staged === null) return;
    const startedAt = time.now();
    if (!isFullyStaged(staged)) {
      await fetchChunks({
        context,
        staged,
        origin: originClient(),
        self,
        peers,
        pacer: downlink,
        peerBytesPerSecond: linkBytesPerSecond * WEIGHTS_LINK_FRACTION,
        signal: rollout.signal,
      });
    }
    if (!isFullyStaged(staged) || !isStillTarget(target)) return;
    log.write('weightsStaged', {
      model: target.model,
      version: target.version,
      chunks: staged.verified.size,
      milliseconds: Math.round(time.now() - startedAt),
    });
    if (isLoaded()) await pause(Math.max(0, loadTurnOf(target) - time.now()));
    await staged.verifyAll();
    if (isFullyStaged(staged) && isStillTarget(target)) await orderLoad(target);
  };

  /** Tells of a version that is given up before it was loaded, and for which one. */
  const logSuperseded = ({ model, version }: WeightsName): void => {
    const next = findTarget();
    if (next === null) return;
    const staged = stagedSets.get(`${model} ${version}`)?.verified.size ?? 0;
    log.write('rolloutSuperseded', { model, version, staged, next: next.version });
  };

  const run = async (): Promise<void> => {
    while (!stop.signal.aborted) {
      const target = findTarget();
      const isBusy = engineMonitor.report(time.now())?.busy ?? true;
      if (target !== null && !isBusy) {
        rollout = new AbortController();
        const currentRollout = rollout;
        const checkTimer = setInterval(() => {
          limitAdmissionBeforeLoad(target);
          if (isStillTarget(target) && !stop.signal.aborted) return;
          if (!currentRollout.signal.aborted) logSuperseded(target);
          currentRollout.abort();
        }, CHECK_INTERVAL_MILLISECONDS);
        try {
          await rollOut(target);
        } catch (error) {
          const { model, version } = target;
          log.write('rolloutFailed', { model, version, reason: String(error) });
        } finally {
          clearInterval(checkTimer);
          options.closeAt(null);
        }
      }
      await pause(CHECK_INTERVAL_MILLISECONDS);
    }
  };

  const sendChunk = async (
    { model, version, chunk }: ChunkRead,
    sink: StreamSink<Uint8Array>,
    signal: AbortSignal,
  ): Promise<void> => {
    const staged = stagedSets.get(`${model} ${version}`);
    if (staged?.verified.has(chunk) !== true) return;
    const bytes = await staged.read(chunk);
    if (bytes === null) return;
    // Whole chunks go one after the other: another agent can pass on a chunk only when it is whole.
    const sendAt = time.now() + uplink.reserve(bytes.length, time.now());
    for (let offset = 0; offset < bytes.length; offset += PART_BYTES) {
      const due = sendAt + (offset * MILLISECONDS_PER_SECOND) / weightsBytesPerSecond();
      await pause(Math.max(0, due - time.now()), undefined, { signal });
      await sink.write(bytes.subarray(offset, offset + PART_BYTES));
    }
  };

  /** Lets an engine that serves a version pass on what is staged there. */
  const verifyServedChunks = (): void => {
    const held = engineMonitor.report(time.now())?.models[0];
    if (held === undefined || stagedSets.size > 0 || isPreparing) return;
    isPreparing = true;
    stagedSet(held)
      .catch((error: unknown) => {
        log.write('rolloutFailed', { ...held, reason: String(error) });
      })
      .finally(() => {
        isPreparing = false;
      });
  };

  return {
    start: () => {
      running = run();
    },
    engineRestarted: () => {
      stagedSets.clear();
      rollout.abort();
    },
    handlers: {
      calls: {
        'chunk.list': async ({ model, version }) => {
          verifyServedChunks();
          const staged = stagedSets.get(`${model} ${version}`);
          const count = staged?.manifest.digests.length ?? 0;
          const held = packChunks(staged?.verified ?? new Set(), count);
          return Promise.resolve({ held, queuedMilliseconds: uplink.waitMilliseconds(time.now()) });
        },
      },
      streams: {
        'chunk.read': async (request, sink, { signal }) => sendChunk(request, sink, signal),
      },
    },
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      rollout.abort();
      await running;
      await origin?.caller[Symbol.asyncDispose]();
    },
  };
}
