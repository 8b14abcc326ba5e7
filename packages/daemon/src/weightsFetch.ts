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

/** Chunks that are copied from another version at the same time. */
const PARALLEL_COPIES = 4;

/** Parts of an agent that its rollouts share. */
export interface RolloutParts {
  readonly context: DaemonContext;
  readonly plan: PlanName;
  readonly engine: EngineClient;
  readonly store: ChunkStore;
  readonly peers: WeightsPeers;
  readonly origin: WeightsOrigin;
  /** Paces what is received. */
  readonly pacer: Pacer;
}

/** One version to bring to the engine's staging. */
export interface RolloutJob {
  readonly manifest: WeightManifest;
  readonly target: VersionTarget;
  readonly signal: AbortSignal;
  /** Called with the count of held chunks. */
  readonly progressed: (heldChunks: number) => void;
}

/** Failures of a source by the code of the error; all others mean that it was not reached. */
const failureOfCode: Readonly<Partial<Record<ResultCode, FetchFailure>>> = {
  [ResultCode.ChunkNotHeld]: 'missing',
  [ResultCode.UploadsBusy]: 'busy',
};

interface FetchedBytes {
  readonly bytes: Buffer;
  readonly queuedBytes: number;
}

async function takeBytes(
  parts: RolloutParts,
  job: RolloutJob,
  order: FetchTask,
  layout: RolloutLayout,
): Promise<FetchedBytes> {
  const { manifest, signal } = job;
  if (order.source.kind === 'origin') {
    return { bytes: await parts.origin.chunk(manifest, order.index, signal), queuedBytes: 0 };
  }
  const member = findMember(layout, order.source.agent);
  const chunk = manifest.chunks[order.index];
  if (member === undefined || chunk === undefined) throw new ResultError(ResultCode.ChunkNotHeld);
  const reply = await parts.peers.chunk(member.address, chunk, signal);
  return { bytes: Buffer.from(reply.bytes), queuedBytes: reply.queuedBytes };
}

/**
 * Fetches one chunk, checks it and stages it; rejects only when the engine or the signal ends it.
 */
export async function fetchChunk(
  parts: RolloutParts,
  job: RolloutJob,
  order: FetchTask,
  layout: RolloutLayout,
): Promise<FetchResult> {
  const { manifest, signal } = job;
  const { start, end } = chunkRange(manifest, order.index);
  const wait = parts.pacer.reserve(end - start, parts.context.time.now());
  if (wait > 0) await delay(wait, undefined, { signal });
  let fetched: FetchedBytes;
  try {
    fetched = await takeBytes(parts, job, order, layout);
  } catch (error) {
    const { code } = toResultError(error, ResultCode.ConnectionLost);
    return { kind: 'failed', failure: failureOfCode[code] ?? 'unreachable' };
  }
  if (!isChunk(manifest, order.index, fetched.bytes)) {
    const source = order.source.kind === 'origin' ? 'origin' : order.source.agent;
    parts.context.log.write('chunkRejected', { index: order.index, source });
    return { kind: 'failed', failure: 'corrupt' };
  }
  await parts.store.put(manifest, order.index, fetched.bytes);
  return { kind: 'arrived', queuedBytes: fetched.queuedBytes };
}

/** Stages the chunks that other versions held here have in common with this one. */
export async function copyCommonChunks(parts: RolloutParts, job: RolloutJob): Promise<void> {
  const held = parts.store.held(job.manifest.digest);
  const indices = job.manifest.chunks.keys();
  const copy = async (): Promise<void> => {
    for (const index of indices) {
      job.signal.throwIfAborted();
      if (!held.has(index)) await parts.store.copy(job.manifest, index);
    }
  };
  await Promise.all(Array.from({ length: PARALLEL_COPIES }, copy));
}
