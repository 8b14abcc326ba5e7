import { setTimeout as delay } from 'node:timers/promises';
import type { Digest } from '@burdockrail/common/digest.js';
import type { ServedVersion } from '@burdockrail/protocol/protocolMembership.js';
import type { WeightManifest } from '@burdockrail/protocol/protocolWeights.js';
import type { AttemptGate } from './attemptGate.js';
import type { DaemonContext } from './daemonRole.js';
import type { EngineClient, EngineOrder } from './engineClient.js';
import { presentAgents } from './weightsMembers.js';
import type { WeightsOrders } from './weightsOrders.js';
import type { WeightsOrigin } from './weightsOrigin.js';
import type { RolloutJob } from './weightsFetch.js';
import type { WeightsServing } from './weightsServing.js';
import type { ChunkStore } from './weightsStore.js';
import type { VersionTarget, WeightsTarget } from './weightsTarget.js';
import type { WeightsTurns } from './weightsTurn.js';
import { findStaged } from './weightsVerifier.js';

/** Longest time for which attempts in progress are waited for before a switch, in milliseconds. */
const SWITCH_DRAIN_MILLISECONDS = 120_000;

/** Brings a version to the engine's staging and verifies it there. */
export type StageVersion = (job: RolloutJob) => Promise<void>;

/** Parts that bringing weights to life needs. */
export interface BringUpParts {
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

/** Brings the weights and adapters of a target to one engine. */
export interface WeightsBringUp {
  /** Resolves when all of the target is live. */
  run(target: WeightsTarget, signal: AbortSignal): Promise<void>;
  /** Records that the engine may have lost what was staged. */
  stagingLost(): void;
}

/** Creates the steps for one engine. */
export function createWeightsBringUp(parts: BringUpParts): WeightsBringUp {
  const { context, engine, origin, store, orders, serving, gate } = parts;
  const { log } = context;
  let isStagingUnknown = true;

  const manifestOf = async (target: VersionTarget, signal: AbortSignal): Promise<WeightManifest> =>
    origin.manifest(target.model, target.version, target.expectedDigest, signal);

  const stage = async (
    manifest: WeightManifest,
    target: VersionTarget,
    signal: AbortSignal,
  ): Promise<void> => {
    const { model, version, digest, chunks } = manifest;
    log.write('rolloutStarted', { model, version, digest });
    const progressed = (heldChunks: number): void => {
      serving.setRollout({ digest, heldChunks, chunks: chunks.length });
    };
    store.open(manifest);
    if (isStagingUnknown) await findStaged(engine, store, manifest, signal);
    progressed(store.held(digest).size);
    await parts.stage({ manifest, target, signal, progressed });
    isStagingUnknown = false;
    progressed(chunks.length);
  };

  /** Lets the old weights answer, if an agent that verified them still announces them. */
  const adopt = async (digest: Digest): Promise<void> => {
    if (serving.served !== null) return;
    const present = await presentAgents(context).catch(() => []);
    const known = present.find((agent) => agent.serving?.digest === digest)?.serving;
    if (known !== undefined) serving.setServed({ ...known, adapters: [] });
  };

  const switchTo = async (
    manifest: WeightManifest,
    target: WeightsTarget,
    signal: AbortSignal,
  ): Promise<void> => {
    const kind: EngineOrder['kind'] = serving.served?.model === manifest.model ? 'version' : 'load';
    const isInterruption = serving.served !== null;
    const giveBack = isInterruption ? await parts.turns.take(signal) : undefined;
    serving.setSwitching(true);
    try {
      // An engine may swap weights under running requests, so none runs during the switch.
      const drained = new AbortController();
      const bound = delay(SWITCH_DRAIN_MILLISECONDS, undefined, { signal: drained.signal });
      await Promise.race([gate.close(), bound]);
      drained.abort();
      bound.catch(() => undefined);
      serving.allow(manifest.digest);
      await orders.give(kind, manifest, target, signal);
      const { model, version, digest } = manifest;
      serving.setServed({ model, version, digest, adapters: [] });
    } finally {
      serving.setSwitching(false);
      gate.open();
      giveBack?.();
    }
  };

  const bringWeights = async (
    target: WeightsTarget,
    signal: AbortSignal,
  ): Promise<ServedVersion> => {
    const manifest = await manifestOf(target.weights, signal);
    const { model, version, digest } = manifest;
    const load = await engine.load();
    if (load.digest === digest) {
      // An engine that was live before this process knew of it still feeds its peers.
      store.open(manifest);
      findStaged(engine, store, manifest, signal).catch(() => undefined);
      if (serving.served?.digest !== digest) {
        serving.setServed({ model, version, digest, adapters: [] });
      }
    } else {
      if (load.digest !== null) await adopt(load.digest);
      await stage(manifest, target.weights, signal);
      await switchTo(manifest, target, signal);
    }
    log.write('weightsLive', { model, version, digest });
    return { model, version, digest, adapters: [] };
  };

  const bringAdapter = async (
    adapter: VersionTarget,
    target: WeightsTarget,
    signal: AbortSignal,
  ): Promise<Digest> => {
    const manifest = await manifestOf(adapter, signal);
    await stage(manifest, adapter, signal);
    await orders.give('adapter', manifest, target, signal);
    return manifest.digest;
  };

  const dropOthers = async (kept: ReadonlySet<Digest>): Promise<void> => {
    for (const version of store.versions) if (!kept.has(version)) await store.drop(version);
  };

  return {
    run: async (target, signal) => {
      let served = await bringWeights(target, signal);
      const kept = new Set([served.digest]);
      for (const adapter of target.adapters) {
        kept.add(await bringAdapter(adapter, target, signal));
        served = { ...served, adapters: [...served.adapters, adapter.model] };
        serving.setServed(served);
      }
      serving.setRollout(null);
      await dropOthers(kept);
    },
    stagingLost: () => {
      store.forgetStaged();
      isStagingUnknown = true;
    },
  };
}
