import { setTimeout as pause } from 'node:timers/promises';
import { packChunks } from '@burdockrail/rollout/chunkBits.js';
import type { ChunkPeer } from '@burdockrail/rollout/chunkRanking.js';
import type { HeldVersions } from '@burdockrail/rollout/versionChoice.js';
import { createPacer } from '@burdockrail/rollout/rolloutPacer.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { formatAddress } from '@burdockrail/protocol/protocolAddress.js';
import type {
  ChunkRead,
  LoadVerdicts,
  UpstreamRecord,
} from '@burdockrail/protocol/protocolDirectory.js';
import type { PeerHandlers, StreamSink } from '@burdockrail/transport/peerHandlers.js';
import { agentAddress } from './chunkFetch.js';
import { parseAddress } from './controlAddresses.js';
import { createHttpClient, type HttpClient } from './httpClient.js';
import type { EngineReport, ModelVersion } from './dialect.js';
import { engineModels, type EngineModel } from './engineModels.js';
import type { EngineMonitor } from './engineMonitor.js';
import type { ClusterView } from './clusterView.js';
import type { GatewayContext } from './gatewayContext.js';
import type { AgentSettings } from './gatewaySettings.js';
import { createInheritedLoads, type InheritedLoads } from './inheritedLoads.js';
import { createLoadDoubts, type LoadDoubts } from './loadDoubts.js';
import { createStagingWrites } from './stagingWrites.js';
import { createVersionChunks, type VersionChunks } from './versionChunks.js';
import { fetchManifest } from './weightsManifest.js';
import { createWeightsFetcher } from './weightsFetcher.js';
import { createWeightsLoader } from './weightsLoader.js';

/** Versions of a model whose chunks are kept: the one that peers may still need, and newer ones. */
const MAXIMUM_KEPT_VERSIONS = 3;

/**
 * Time after the start of the agent from which an engine that has not answered yet is expected to
 * start without weights, in milliseconds: several polls.
 */
const ENGINE_START_MILLISECONDS = 300;

/**
 * Interval between attempts to read the served version back from the staging, in milliseconds: some
 * of its chunks may be spoilt there or replaced by the next version, and peers ask often.
 */
const OPEN_SERVED_INTERVAL_MILLISECONDS = 2_000;

/** Fraction of the link in each direction for weights; the rest is for requests and grants. */
const WEIGHTS_LINK_FRACTION = 0.8;

/** Bytes of a chunk sent at once; requests on the same link wait for at most one such part. */
const PART_BYTES = 8_192;

const MILLISECONDS_PER_SECOND = 1_000;

const BYTES_PER_MEGABIT = 125_000;

/** Fetches weights, stages them at an engine and orders it to load them. */
export interface AgentWeights extends AsyncDisposable {
  start(): void;
  /** Stages the chunks again, because a restarted engine may have lost them. */
  engineRestarted(): void;
  /** False while it is not known that all chunks of a load were sound when the engine took them. */
  isSound(load: ModelVersion): boolean;
  /** What is known of the loads in a report; `undefined` while nothing is. */
  verdicts(report: EngineReport): LoadVerdicts | undefined;
  readonly handlers: Partial<PeerHandlers>;
}

/** Options of {@link createAgentWeights}. */
export interface AgentWeightsOptions {
  readonly context: GatewayContext;
  readonly agent: AgentSettings;
  readonly clusterView: ClusterView;
  readonly engineClient: HttpClient;
  /** Reads and writes staged chunks. */
  readonly stagingClient: HttpClient;
  readonly engineMonitor: EngineMonitor;
  /** The engine's record in the directory. */
  readonly engineRecord: () => UpstreamRecord | undefined;
  /** Whether the engine has weights that may be served now. */
  readonly hasServableWeights: () => boolean;
  /** Admits only requests that end by a time; `null` admits all. */
  readonly admitOnlyUntil: (time: Milliseconds | null) => void;
}

/** Parts of the weights manager that its fetcher and its loader share. */
export interface WeightsContext extends AgentWeightsOptions {
  readonly doubts: LoadDoubts;
  readonly inheritedLoads: InheritedLoads;
  /** Address of this agent. */
  readonly self: string;
  peers(): readonly ChunkPeer[];
  /** Versions of each model of the engine; empty while the engine's state is unknown. */
  knownVersions(): readonly EngineModel[];
  heldVersions(model: string): HeldVersions;
  chunksOf(version: ModelVersion): VersionChunks | undefined;
  /** Returns the chunks of a version, with those that the engine has staged; `null` without manifest. */
  openChunks(version: ModelVersion): Promise<VersionChunks | null>;
  originClient(): HttpClient | null;
  /** True if a chunk of any version was written to the staging at or after a time. */
  hasStagedSince(at: Milliseconds): boolean;
  /** Gives the engine's staging to one version; `null` leaves it to those that are fetched. */
  reserveStaging(version: ModelVersion | null): void;
}

const keyOf = ({ model, version }: ModelVersion): string => `${model} ${version}`;

/**
 * Creates the weights manager of an engine.
 *
 * @remarks
 * One loop fetches chunks, another stages and loads whole versions, so that the next version can
 * arrive while the engine waits for its turn to load one.
 */
export function createAgentWeights(options: AgentWeightsOptions): AgentWeights {
  const { context, agent, clusterView, stagingClient, engineMonitor } = options;
  const { dialect, log, time, settings } = context;
  const self = formatAddress(agent.internal);
  const startedAt = time.now();
  const versionChunks = new Map<string, VersionChunks>();
  const doubts = createLoadDoubts();
  const inheritedLoads = createInheritedLoads(doubts, log);
  const writes = createStagingWrites();
  let origin: { readonly address: string; readonly client: HttpClient } | null = null;
  let stagingReservedFor: string | null = null;
  let hasEngineAnswered = false;
  let isOpeningServed = false;
  let openedServedAt = Number.NEGATIVE_INFINITY;
  const linkBytesPerSecond = agent.linkMegabits * BYTES_PER_MEGABIT;
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

  const regionOf = (dataCentre: string): string =>
    (Object.hasOwn(settings.regions, dataCentre) ? settings.regions[dataCentre] : undefined) ??
    dataCentre;

  const peers = (): readonly ChunkPeer[] =>
    clusterView.directory.entries
      .filter(({ record, silent }) => record.service === agent.service && !silent)
      .map(({ record }) => ({
        agent: agentAddress(record.address, agent.internal.port),
        region: regionOf(record.dataCentre),
      }))
      .filter((peer) => peer.agent !== self);

  const knownVersions = (): readonly EngineModel[] => {
    const report = engineMonitor.report(time.now());
    hasEngineAnswered ||= report !== null;
    const isStartExpected =
      !hasEngineAnswered && time.now() - startedAt > ENGINE_START_MILLISECONDS;
    if (report === null && !isStartExpected) return [];
    const models = report?.models.filter((held) => doubts.of(held)?.isUnsound !== true) ?? [];
    const soundReport = report === null ? null : { ...report, models };
    return engineModels(clusterView, agent.service, soundReport, settings.bounds);
  };

  const keepNewest = (model: string): void => {
    const versions = [...versionChunks.values()]
      .filter((chunks) => chunks.model === model)
      .map(({ version }) => version)
      .sort((left, right) => right - left);
    for (const version of versions.slice(MAXIMUM_KEPT_VERSIONS))
      versionChunks.delete(keyOf({ model, version }));
  };

  /** Records that the staging holds chunks of one version in place of the others'. */
  const forgetStagedOfOthers = (key: string, staged: Iterable<number>): void => {
    for (const [other, chunks] of versionChunks) if (other !== key) chunks.forgetStaged(staged);
  };

  const openChunks = async (opened: ModelVersion): Promise<VersionChunks | null> => {
    const key = keyOf(opened);
    const known = versionChunks.get(key);
    if (known !== undefined) return known;
    const client = originClient();
    const manifest = client === null ? null : await fetchManifest(context, client, opened);
    if (manifest === null) return null;
    const isFirstOpened = versionChunks.size === 0;
    const chunks = createVersionChunks({
      engine: stagingClient,
      dialect: dialect.weights,
      ...opened,
      manifest,
      time,
      writes,
      // Until it is known what the engine has loaded, the staging may be the only proof of it.
      mayStage: () =>
        inheritedLoads.areKnown && (stagingReservedFor === null || stagingReservedFor === key),
      onStage: (chunk) => {
        forgetStagedOfOthers(key, [chunk]);
      },
    });
    versionChunks.set(key, chunks);
    keepNewest(opened.model);
    // Only a previous process of this agent can have staged chunks that it does not know of.
    if (isFirstOpened && hasEngineAnswered) await chunks.adoptStaged();
    return chunks;
  };

  const weights: WeightsContext = {
    ...options,
    doubts,
    inheritedLoads,
    self,
    peers,
    knownVersions,
    heldVersions: (model) => {
      const ofModel = [...versionChunks.values()].filter((chunks) => chunks.model === model);
      const complete = ofModel.filter(({ isComplete }) => isComplete);
      const partial = ofModel.filter(({ isComplete, held }) => !isComplete && held.size > 0);
      return {
        complete: new Set(complete.map(({ version }) => version)),
        partial: new Set(partial.map(({ version }) => version)),
      };
    },
    chunksOf: (version) => versionChunks.get(keyOf(version)),
    openChunks,
    originClient,
    hasStagedSince: (at) => writes.hasBegunSince(at),
    reserveStaging: (version) => {
      stagingReservedFor = version === null ? null : keyOf(version);
    },
  };
  const fetcher = createWeightsFetcher(weights, {
    pacer: downlink,
    peerBytesPerSecond: linkBytesPerSecond * WEIGHTS_LINK_FRACTION,
  });
  const loader = createWeightsLoader(weights, fetcher);

  const sendChunk = async (
    { model, version, chunk }: ChunkRead,
    sink: StreamSink<Uint8Array>,
    signal: AbortSignal,
  ): Promise<void> => {
    const chunks = versionChunks.get(keyOf({ model, version }));
    if (chunks?.held.has(chunk) !== true) return;
    const bytes = await chunks.read(chunk);
    if (bytes === null) return;
    // Chunks are sent one at a time, because a receiver can pass on only complete chunks.
    const sendAt = time.now() + uplink.reserve(bytes.length, time.now());
    for (let offset = 0; offset < bytes.length; offset += PART_BYTES) {
      const dueAt = sendAt + (offset * MILLISECONDS_PER_SECOND) / weightsBytesPerSecond();
      await pause(Math.max(0, dueAt - time.now()), undefined, { signal });
      await sink.write(bytes.subarray(offset, offset + PART_BYTES));
    }
  };

  /** Reads the chunks of the version being served when a peer asks for it. */
  const openServedChunks = (wanted: ModelVersion): void => {
    const now = time.now();
    const held = engineMonitor.report(now)?.models[0];
    if (held === undefined || keyOf(held) !== keyOf(wanted)) return;
    const isDue = now - openedServedAt > OPEN_SERVED_INTERVAL_MILLISECONDS;
    if (isOpeningServed || !isDue || versionChunks.get(keyOf(held))?.isComplete === true) return;
    isOpeningServed = true;
    openedServedAt = now;
    openChunks(held)
      .then(async (chunks) => chunks?.adoptStaged())
      .catch((error: unknown) => {
        log.write('rolloutFailed', { ...held, reason: String(error) });
      })
      .finally(() => {
        isOpeningServed = false;
      });
  };

  return {
    start: () => {
      fetcher.start();
      loader.start();
    },
    engineRestarted: () => {
      doubts.clear();
      inheritedLoads.reset();
      for (const chunks of versionChunks.values()) chunks.forgetStaged([...chunks.held]);
    },
    isSound: (load) => inheritedLoads.areKnown && doubts.of(load) === null,
    verdicts: (report) => inheritedLoads.verdicts(report),
    handlers: {
      calls: {
        'chunk.list': async ({ model, version }) => {
          openServedChunks({ model, version });
          const chunks = versionChunks.get(keyOf({ model, version }));
          const count = chunks?.manifest.digests.length ?? 0;
          const held = packChunks(chunks?.held ?? new Set(), count);
          return Promise.resolve({ held, queuedMilliseconds: uplink.waitMilliseconds(time.now()) });
        },
      },
      streams: {
        'chunk.read': async (request, sink, { signal }) => sendChunk(request, sink, signal),
      },
    },
    [Symbol.asyncDispose]: async () => {
      await Promise.all([fetcher[Symbol.asyncDispose](), loader[Symbol.asyncDispose]()]);
      await origin?.client[Symbol.asyncDispose]();
    },
  };
}
