import { setTimeout as pause } from 'node:timers/promises';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { packChunks } from '@burdockrail/rollout/chunkBits.js';
import type { ChunkPeer } from '@burdockrail/rollout/chunkRanking.js';
import { createStagingProgress, loadStartAt } from '@burdockrail/rollout/loadStart.js';
import { createPacer } from '@burdockrail/rollout/rolloutPacer.js';
import { formatAddress } from '@burdockrail/protocol/protocolAddress.js';
import type { ChunkRead } from '@burdockrail/protocol/protocolDirectory.js';
import type { PeerHandlers, StreamSink } from '@burdockrail/transport/peerHandlers.js';
import { agentAddress, fetchChunks } from './chunkFetch.js';
import { parseAddress } from './controlAddresses.js';
import { supersededAt } from './versionRule.js';
import { createHttpClient, type HttpClient } from './httpClient.js';
import type { ModelVersion } from './dialect.js';
import type { EngineMonitor } from './engineMonitor.js';
import type { ClusterView } from './clusterView.js';
import type { GatewayContext } from './gatewayContext.js';
import type { AgentSettings } from './gatewaySettings.js';
import { fetchManifest } from './weightsManifest.js';
import { createStagedChunks, type StagedChunks } from './stagedChunks.js';

/** Version served before any other is named. */
const FIRST_VERSION = 1;

/** Interval at which the engine and the target are checked, in milliseconds. */
const CHECK_INTERVAL_MILLISECONDS = 120;

/** Timeout of a load order, in milliseconds. */
const LOAD_ORDER_TIMEOUT_MILLISECONDS = 2_000;

/** Time before a load in which only requests that end by then are admitted, in milliseconds. */
const LOAD_DRAIN_MILLISECONDS = 2_000;

/** Fraction of the link in each direction for weights; the rest is for requests and grants. */
const WEIGHTS_LINK_FRACTION = 0.8;

/** Bytes of a chunk sent at once; requests on the same link wait for at most one such part. */
const PART_BYTES = 8_192;

const MILLISECONDS_PER_SECOND = 1_000;

const BYTES_PER_MEGABIT = 125_000;

const SUCCESS_STATUS = 200;
const ACCEPTED_STATUS = 202;
const FENCED_STATUS = 412;

/** Increment of the fencing token after a refusal; tokens are Unix milliseconds, so one minute. */
const FENCING_TOKEN_STEP = 60_000;

/** Stages weights at an engine and orders it to load them. */
export interface AgentWeights extends AsyncDisposable {
  start(): void;
  /** Discards the staging state, because a restarted engine may have lost staged chunks. */
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
  /** Whether the engine has weights that may be served now. */
  readonly hasServableWeights: () => boolean;
  /** Admits only requests that end by a time; `null` admits all. */
  readonly admitOnlyUntil: (time: Milliseconds | null) => void;
}

/**
 * Creates the weights manager of an engine.
 *
 * @remarks
 * All staged chunks are read back and verified right before the load order, because an engine loads
 * whatever is staged at that moment without checking it.
 */
export function createAgentWeights(options: AgentWeightsOptions): AgentWeights {
  const { context, agent, clusterView, engineClient, engineMonitor } = options;
  const { dialect, log, time, settings } = context;
  const self = formatAddress(agent.internal);
  const stop = new AbortController();
  const stagedSets = new Map<string, StagedChunks>();
  let origin: { readonly address: string; readonly client: HttpClient } | null = null;
  let rollout = new AbortController();
  let running: Promise<void> = Promise.resolve();
  const stagingProgress = createStagingProgress();
  let isVerifying = false;
  let fencingToken = Date.now();
  const linkBytesPerSecond = agent.linkMegabits * BYTES_PER_MEGABIT;
  const isLoaded = (): boolean => (engineMonitor.report(time.now())?.models.length ?? 0) > 0;
  /** Weights may use the whole link while the engine cannot serve requests. */
  const weightsBytesPerSecond = (): number =>
    linkBytesPerSecond * (options.hasServableWeights() ? WEIGHTS_LINK_FRACTION : 1);
  const uplink = createPacer(weightsBytesPerSecond);
  const downlink = createPacer(weightsBytesPerSecond);

  const originClient = (): HttpClient | null => {
    const services = clusterView.table?.configuration.services ?? [];
    const address = services.find((service) => service.origin !== null)?.origin?.address;
    if (address === undefined) return null;
    if (origin?.address !== address) {
      origin = { address, client: createHttpClient(parseAddress(address), settings.localAddress) };
    }
    return origin.client;
  };

  const peers = (): readonly ChunkPeer[] =>
    clusterView.directory.entries
      .filter(({ record, silent }) => record.service === agent.service && !silent)
      .map(({ record }) => ({
        agent: agentAddress(record.address, agent.internal.port),
        region: settings.regions[record.dataCentre] ?? record.dataCentre,
      }))
      .filter((peer) => peer.agent !== self);

  /** Version that the engine should load next; `null` if it is up to date or does not answer. */
  const findTarget = (): ModelVersion | null => {
    const report = engineMonitor.report(time.now());
    const models = clusterView.table?.service(agent.service)?.engine?.models ?? [];
    if (report === null) return null;
    for (const model of models) {
      const versionsInUse = clusterView.directory.entries
        .flatMap(({ record }) => record.models)
        .filter((held) => held.model === model)
        .map(({ version }) => version);
      const targetVersion =
        clusterView.weightsOf(model).at(-1)?.version ?? Math.max(FIRST_VERSION, ...versionsInUse);
      const held = report.models.find((known) => known.model === model);
      if (held === undefined || held.version < targetVersion)
        return { model, version: targetVersion };
    }
    return null;
  };

  const openStagedSet = async (target: ModelVersion): Promise<StagedChunks | null> => {
    const key = `${target.model} ${target.version}`;
    const known = stagedSets.get(key);
    if (known !== undefined) return known;
    const client = originClient();
    if (client === null) return null;
    const manifest = await fetchManifest(context, client, target);
    if (manifest === null) return null;
    // The engine stages one version at a time, so a new version replaces the previous one.
    stagedSets.clear();
    const stagedChunks = createStagedChunks(
      engineClient,
      dialect.weights,
      target.model,
      target.version,
      manifest,
    );
    stagedSets.set(key, stagedChunks);
    // An engine that serves another version can only have chunks of that version staged.
    const report = engineMonitor.report(time.now());
    const servesOtherVersion =
      report?.models.some((held) => held.version !== target.version) ?? false;
    if (!servesOtherVersion) await stagedChunks.verifyAll();
    return stagedChunks;
  };

  const isFullyStaged = (staged: StagedChunks): boolean =>
    staged.verified.size === staged.manifest.digests.length;

  const isStillTarget = (target: ModelVersion): boolean => {
    const currentTarget = findTarget();
    return currentTarget?.model === target.model && currentTarget.version === target.version;
  };

  const orderLoad = async (target: ModelVersion): Promise<void> => {
    const report = await engineMonitor.refresh();
    if (report === null || report.busy) return;
    const request = dialect.weights.load({ ...target, orders: report.orders, fence: fencingToken });
    const { status, body } = await engineClient.call(request, LOAD_ORDER_TIMEOUT_MILLISECONDS);
    const isAccepted = status === SUCCESS_STATUS || status === ACCEPTED_STATUS;
    // After the clock was set back, or from a previous agent, the engine may hold a higher token.
    if (status === FENCED_STATUS) fencingToken += FENCING_TOKEN_STEP;
    log.write('weightsOrdered', {
      model: target.model,
      version: target.version,
      orders: report.orders,
      status,
      outcome: isAccepted ? 'begun' : body.toString('utf8').slice(0, 120),
    });
    await engineMonitor.refresh();
  };

  const loadTurnFor = (target: ModelVersion): Milliseconds => {
    const held = engineMonitor
      .report(time.now())
      ?.models.find(({ model }) => model === target.model);
    return loadStartAt({
      versionKey: `${target.model} ${target.version}`,
      self,
      agents: [...peers().map(({ agent: peer }) => peer), self],
      // The deadline of a version is set by the first naming after it, however many follow.
      namedAt: supersededAt(held?.version ?? 0, clusterView.weightsOf(target.model)) ?? time.now(),
      switchTimeoutMilliseconds: settings.bounds.versionMilliseconds,
    });
  };

  /** Admits only requests that end before the load, once its time can be predicted. */
  const limitAdmissionBeforeLoad = (target: ModelVersion): void => {
    const staged = stagedSets.get(`${target.model} ${target.version}`);
    if (staged === undefined || !isLoaded()) return;
    const now = time.now();
    stagingProgress.record(staged.verified.size, now);
    const stagedAt = stagingProgress.expectedCompletionAt(staged.manifest.digests.length, now);
    const loadAt = Math.max(stagedAt, loadTurnFor(target));
    options.admitOnlyUntil(loadAt - now < LOAD_DRAIN_MILLISECONDS ? loadAt : null);
  };

  /** Stages the target's missing chunks, verifies them and orders the load. */
  const rollOut = async (target: ModelVersion): Promise<void> => {
    const staged = await openStagedSet(target);
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
    if (isLoaded()) await pause(Math.max(0, loadTurnFor(target) - time.now()));
    await staged.verifyAll();
    if (isFullyStaged(staged) && isStillTarget(target)) await orderLoad(target);
  };

  /** Logs that a rollout is aborted in favour of a newer version. */
  const logSuperseded = ({ model, version }: ModelVersion): void => {
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
          options.admitOnlyUntil(null);
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
    // Chunks are sent one at a time, because a receiver can pass on only complete chunks.
    const sendAt = time.now() + uplink.reserve(bytes.length, time.now());
    for (let offset = 0; offset < bytes.length; offset += PART_BYTES) {
      const dueAt = sendAt + (offset * MILLISECONDS_PER_SECOND) / weightsBytesPerSecond();
      await pause(Math.max(0, dueAt - time.now()), undefined, { signal });
      await sink.write(bytes.subarray(offset, offset + PART_BYTES));
    }
  };

  /** Verifies the staged chunks of the version being served, so that they can be sent to peers. */
  const verifyServedChunks = (): void => {
    const held = engineMonitor.report(time.now())?.models[0];
    if (held === undefined || stagedSets.size > 0 || isVerifying) return;
    isVerifying = true;
    openStagedSet(held)
      .catch((error: unknown) => {
        log.write('rolloutFailed', { ...held, reason: String(error) });
      })
      .finally(() => {
        isVerifying = false;
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
      await origin?.client[Symbol.asyncDispose]();
    },
  };
}
