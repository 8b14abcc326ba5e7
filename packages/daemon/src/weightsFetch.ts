import { setTimeout as delay } from 'node:timers/promises';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError, toResultError } from '@burdockrail/common/outcome.js';
import type { WeightManifest } from '@burdockrail/protocol/protocolWeights.js';
import type { FetchFailure } from '@burdockrail/rollout/rolloutAvoidance.js';
import { findMember, type RolloutLayout } from '@burdockrail/rollout/rolloutLayout.js';
import { chunkRange, isChunk } from '@burdockrail/rollout/rolloutManifest.js';
import type { Pacer } from '@burdockrail/rollout/rolloutPacer.js';
import type { PlanName } from '@burdockrail/rollout/rolloutPlan.js';
import type { FetchTask, FetchResult } from '@burdockrail/rollout/rolloutScheduler.js';
import type { DaemonContext } from './daemonRole.js';
import type { EngineClient } from './engineClient.js';
import type { WeightsOrigin } from './weightsOrigin.js';
import type { WeightsPeers } from './weightsPeers.js';
import type { ChunkStore } from './weightsStore.js';
import type { VersionTarget } from './weightsTarget.js';

/** Maximum number of chunks that are copied from other versions concurrently. */
const MAXIMUM_PARALLEL_COPIES = 4;

/** Dependencies that all rollouts of an agent share. */
export interface RolloutDependencies {
  readonly context: DaemonContext;
  readonly plan: PlanName;
  readonly engine: EngineClient;
  readonly store: ChunkStore;
  readonly peers: WeightsPeers;
  readonly origin: WeightsOrigin;
  /** Limits the rate of downloads. */
  readonly pacer: Pacer;
}

/** One version to transfer to the engine's staging area. */
export interface RolloutJob {
  readonly manifest: WeightManifest;
  readonly target: VersionTarget;
  readonly signal: AbortSignal;
  /** Called with the number of held chunks. */
  readonly onProgress: (heldChunks: number) => void;
}

/** Fetch failures by result code; all other codes mean that the source was unreachable. */
const failuresByCode: Readonly<Partial<Record<ResultCode, FetchFailure>>> = {
  [ResultCode.ChunkNotHeld]: 'missing',
  [ResultCode.UploadsBusy]: 'busy',
};

interface FetchedBytes {
  readonly bytes: Buffer;
  readonly queuedBytes: number;
}

async function fetchBytes(
  dependencies: RolloutDependencies,
  job: RolloutJob,
  task: FetchTask,
  layout: RolloutLayout,
): Promise<FetchedBytes> {
  const { manifest, signal } = job;
  if (task.source.kind === 'origin') {
    return {
      bytes: await dependencies.origin.fetchChunk(manifest, task.index, signal),
      queuedBytes: 0,
    };
  }
  const member = findMember(layout, task.source.agent);
  const chunk = manifest.chunks[task.index];
  if (member === undefined || chunk === undefined) throw new ResultError(ResultCode.ChunkNotHeld);
  const reply = await dependencies.peers.fetchChunk(member.address, chunk, signal);
  return { bytes: Buffer.from(reply.bytes), queuedBytes: reply.queuedBytes };
}

/** Fetches, verifies and stages one chunk; rejects only if the engine fails or on abort. */
export async function fetchChunk(
  dependencies: RolloutDependencies,
  job: RolloutJob,
  task: FetchTask,
  layout: RolloutLayout,
): Promise<FetchResult> {
  const { manifest, signal } = job;
  const { start, end } = chunkRange(manifest, task.index);
  const delayMilliseconds = dependencies.pacer.reserve(
    end - start,
    dependencies.context.time.now(),
  );
  if (delayMilliseconds > 0) await delay(delayMilliseconds, undefined, { signal });
  let fetched: FetchedBytes;
  try {
    fetched = await fetchBytes(dependencies, job, task, layout);
  } catch (error) {
    const { code } = toResultError(error, ResultCode.ConnectionLost);
    return { kind: 'failed', failure: failuresByCode[code] ?? 'unreachable' };
  }
  if (!isChunk(manifest, task.index, fetched.bytes)) {
    const source = task.source.kind === 'origin' ? 'origin' : task.source.agent;
    dependencies.context.log.write('chunkRejected', { index: task.index, source });
    return { kind: 'failed', failure: 'corrupt' };
  }
  await dependencies.store.put(manifest, task.index, fetched.bytes);
  return { kind: 'arrived', queuedBytes: fetched.queuedBytes };
}

/** Stages the chunks that this version shares with other versions held by the engine. */
export async function copyCommonChunks(
  dependencies: RolloutDependencies,
  job: RolloutJob,
): Promise<void> {
  const held = dependencies.store.held(job.manifest.digest);
  const indices = job.manifest.chunks.keys();
  const copy = async (): Promise<void> => {
    for (const index of indices) {
      job.signal.throwIfAborted();
      if (!held.has(index)) await dependencies.store.copy(job.manifest, index);
    }
  };
  await Promise.all(Array.from({ length: MAXIMUM_PARALLEL_COPIES }, copy));
}
