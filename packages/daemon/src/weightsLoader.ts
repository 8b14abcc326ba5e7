import { setTimeout as delay } from 'node:timers/promises';
import type { Digest } from '@burdockrail/common/digest.js';
import type { ServedVersion } from '@burdockrail/protocol/protocolMembership.js';
import type { WeightManifest } from '@burdockrail/protocol/protocolWeights.js';
import type { AttemptGate } from './attemptGate.js';
import type { DaemonContext } from './daemonRole.js';
import type { EngineClient, EngineOrder } from './engineClient.js';
import { fetchPresentAgents } from './weightsMembers.js';
import type { WeightsOrders } from './weightsOrders.js';
import type { WeightsOrigin } from './weightsOrigin.js';
import type { RolloutJob } from './weightsFetch.js';
import type { WeightsServing } from './weightsServing.js';
import type { ChunkStore } from './weightsStore.js';
import type { VersionTarget, WeightsTarget } from './weightsTarget.js';
import type { WeightsTurns } from './weightsTurn.js';
import { findStagedChunks } from './weightsVerifier.js';

/** Maximum wait for attempts in progress before a switch, in milliseconds. */
const SWITCH_DRAIN_TIMEOUT_MILLISECONDS = 120_000;

/** Transfers a version to the engine's staging area and verifies it there. */
export type StageVersion = (job: RolloutJob) => Promise<void>;

/** Dependencies of a {@link WeightsLoader}. */
export interface WeightsLoaderDependencies {
  readonly context: DaemonContext;
  readonly engine: EngineClient;
  readonly origin: WeightsOrigin;
  readonly store: ChunkStore;
  readonly stage: StageVersion;
  readonly orders: WeightsOrders;
  readonly serving: WeightsServing;
  readonly gate: AttemptGate;
  readonly turns: WeightsTurns;
}

/** Loads the weights and adapters of a target into one engine. */
export interface WeightsLoader {
  /** Resolves when the engine serves the weights and all adapters of the target. */
  run(target: WeightsTarget, signal: AbortSignal): Promise<void>;
  /** Records that the engine may have lost its staged chunks. */
  recordStagingLoss(): void;
}

/** Creates the loader of one engine. */
export function createWeightsLoader(dependencies: WeightsLoaderDependencies): WeightsLoader {
  const { context, engine, origin, store, orders, serving, gate } = dependencies;
  const { log } = context;
  let isStagingUnknown = true;

  const fetchManifest = async (
    target: VersionTarget,
    signal: AbortSignal,
  ): Promise<WeightManifest> =>
    origin.fetchManifest(target.model, target.version, target.expectedDigest, signal);

  const stageVersion = async (
    manifest: WeightManifest,
    target: VersionTarget,
    signal: AbortSignal,
  ): Promise<void> => {
    const { model, version, digest, chunks } = manifest;
    log.write('rolloutStarted', { model, version, digest });
    const onProgress = (heldChunks: number): void => {
      serving.setRollout({ digest, heldChunks, chunks: chunks.length });
    };
    store.open(manifest);
    if (isStagingUnknown) await findStagedChunks(engine, store, manifest, signal);
    onProgress(store.held(digest).size);
    await dependencies.stage({ manifest, target, signal, onProgress });
    isStagingUnknown = false;
    onProgress(chunks.length);
  };

  /** Keeps serving the engine's old weights if an agent that verified them still announces them. */
  const restoreServedVersion = async (digest: Digest): Promise<void> => {
    if (serving.served !== null) return;
    const presentAgents = await fetchPresentAgents(context).catch(() => []);
    const announcedVersion = presentAgents.find(
      (agent) => agent.serving?.digest === digest,
    )?.serving;
    if (announcedVersion !== undefined) serving.setServed({ ...announcedVersion, adapters: [] });
  };

  const switchTo = async (
    manifest: WeightManifest,
    target: WeightsTarget,
    signal: AbortSignal,
  ): Promise<void> => {
    const kind: EngineOrder['kind'] = serving.served?.model === manifest.model ? 'version' : 'load';
    const interruptsService = serving.served !== null;
    const releaseTurn = interruptsService ? await dependencies.turns.acquire(signal) : undefined;
    serving.setSwitching(true);
    try {
      // An engine may swap weights under running requests, so attempts are drained first.
      const timeoutAbort = new AbortController();
      const timeout = delay(SWITCH_DRAIN_TIMEOUT_MILLISECONDS, undefined, {
        signal: timeoutAbort.signal,
      });
      await Promise.race([gate.close(), timeout]);
      timeoutAbort.abort();
      timeout.catch(() => undefined);
      serving.allow(manifest.digest);
      await orders.issue(kind, manifest, target, signal);
      const { model, version, digest } = manifest;
      serving.setServed({ model, version, digest, adapters: [] });
    } finally {
      serving.setSwitching(false);
      gate.open();
      releaseTurn?.();
    }
  };

  const loadWeights = async (
    target: WeightsTarget,
    signal: AbortSignal,
  ): Promise<ServedVersion> => {
    const manifest = await fetchManifest(target.weights, signal);
    const { model, version, digest } = manifest;
    const load = await engine.getLoad();
    if (load.digest === digest) {
      // Finds the chunks of an engine loaded before this process started, to upload them to peers.
      store.open(manifest);
      findStagedChunks(engine, store, manifest, signal).catch(() => undefined);
      if (serving.served?.digest !== digest) {
        serving.setServed({ model, version, digest, adapters: [] });
      }
    } else {
      if (load.digest !== null) await restoreServedVersion(load.digest);
      await stageVersion(manifest, target.weights, signal);
      await switchTo(manifest, target, signal);
    }
    log.write('weightsLive', { model, version, digest });
    return { model, version, digest, adapters: [] };
  };

  const loadAdapter = async (
    adapter: VersionTarget,
    target: WeightsTarget,
    signal: AbortSignal,
  ): Promise<Digest> => {
    const manifest = await fetchManifest(adapter, signal);
    await stageVersion(manifest, adapter, signal);
    await orders.issue('adapter', manifest, target, signal);
    return manifest.digest;
  };

  const dropOtherVersions = async (keptDigests: ReadonlySet<Digest>): Promise<void> => {
    for (const version of store.versions) if (!keptDigests.has(version)) await store.drop(version);
  };

  return {
    run: async (target, signal) => {
      let served = await loadWeights(target, signal);
      const keptDigests = new Set([served.digest]);
      for (const adapter of target.adapters) {
        keptDigests.add(await loadAdapter(adapter, target, signal));
        served = { ...served, adapters: [...served.adapters, adapter.model] };
        serving.setServed(served);
      }
      serving.setRollout(null);
      await dropOtherVersions(keptDigests);
    },
    recordStagingLoss: () => {
      store.markAllMissing();
      isStagingUnknown = true;
    },
  };
}
