import { setMaxListeners } from 'node:events';
import { setTimeout as delay } from 'node:timers/promises';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError, toResultError } from '@burdockrail/common/outcome.js';
import type { WeightManifest } from '@burdockrail/protocol/protocolWeights.js';
import type { FetchFailure } from '@burdockrail/rollout/rolloutAvoidance.js';
import { memberNamed, type RolloutLayout } from '@burdockrail/rollout/rolloutLayout.js';
import { chunkRange, isChunk } from '@burdockrail/rollout/rolloutManifest.js';
import type { Pacer } from '@burdockrail/rollout/rolloutPacer.js';
import type { PlanName } from '@burdockrail/rollout/rolloutPlan.js';
import {
  createRolloutScheduler,
  type FetchOrder,
  type FetchResult,
  type RolloutScheduler,
} from '@burdockrail/rollout/rolloutScheduler.js';
import { createController } from './controller.js';
import type { DaemonContext } from './daemonRole.js';
import type { EngineClient } from './engineClient.js';
import { currentLayout, firstLayout } from './weightsMembers.js';
import type { WeightsOrigin } from './weightsOrigin.js';
import type { WeightsPeers } from './weightsPeers.js';
import type { ChunkStore } from './weightsStore.js';
import type { VersionTarget } from './weightsTarget.js';
import { verifyArriving } from './weightsVerifier.js';
import { createWeightsWatches } from './weightsWatches.js';

/** Time between two looks at bounds that passed, in milliseconds. */
const TICK_MILLISECONDS = 100;

/** Time between two questions for the members of the rollout, in milliseconds. */
const MEMBERS_INTERVAL_MILLISECONDS = 1_000;

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

type RolloutMessage =
  | { readonly kind: 'tick' }
  | { readonly kind: 'layout'; readonly layout: RolloutLayout }
  | { readonly kind: 'peer'; readonly agent: string; readonly indices: readonly number[] | null }
  | { readonly kind: 'lost'; readonly index: number }
  | { readonly kind: 'finished'; readonly order: FetchOrder; readonly result: FetchResult };

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
  order: FetchOrder,
  layout: RolloutLayout,
): Promise<FetchedBytes> {
  const { manifest, signal } = job;
  if (order.source.kind === 'origin') {
    return { bytes: await parts.origin.chunk(manifest, order.index, signal), queuedBytes: 0 };
  }
  const member = memberNamed(layout, order.source.agent);
  const chunk = manifest.chunks[order.index];
  if (member === undefined || chunk === undefined) throw new ResultError(ResultCode.ChunkNotHeld);
  const reply = await parts.peers.chunk(member.address, chunk, signal);
  return { bytes: Buffer.from(reply.bytes), queuedBytes: reply.queuedBytes };
}

async function fetchChunk(
  parts: RolloutParts,
  job: RolloutJob,
  order: FetchOrder,
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

async function copyCommonChunks(parts: RolloutParts, job: RolloutJob): Promise<void> {
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

/** Takes one message into the scheduler. */
const takeMessage: {
  readonly [Kind in RolloutMessage['kind']]: (
    scheduler: RolloutScheduler,
    message: Extract<RolloutMessage, { readonly kind: Kind }>,
    now: number,
  ) => void;
} = {
  tick: () => undefined,
  layout: (scheduler, { layout }) => {
    scheduler.setLayout(layout);
  },
  peer: (scheduler, { agent, indices }) => {
    if (indices === null) scheduler.peerGone(agent);
    else scheduler.peerHolds(agent, indices);
  },
  lost: (scheduler, { index }) => {
    scheduler.progress.lose(index);
  },
  finished: (scheduler, { order, result }, now) => {
    scheduler.finished(order, result, now);
  },
};

/**
 * Brings a version to the engine's staging and verifies it there as a whole.
 *
 * @remarks
 * Rejects when the engine fails or the manifest proves wrong; sources that fail are replaced by
 * others without end, until the signal aborts.
 */
export async function runRollout(parts: RolloutParts, job: RolloutJob): Promise<void> {
  const { context, store } = parts;
  const { manifest } = job;
  const stopped = new AbortController();
  const signal = AbortSignal.any([job.signal, stopped.signal]);
  // Every fetch and watch in progress listens to it.
  setMaxListeners(0, signal);
  const runJob: RolloutJob = { ...job, signal };
  await copyCommonChunks(parts, runJob);
  let layout = await firstLayout(context, job.target, manifest.digest, signal);
  const scheduler = createRolloutScheduler(
    { plan: parts.plan, chunks: manifest.chunks, layout, random: context.random },
    context.time.now(),
  );
  for (const index of store.held(manifest.digest)) {
    scheduler.progress.hold(index, context.time.now());
  }
  let failRun: (error: unknown) => void = () => undefined;
  const failed = new Promise<never>((_resolve, reject) => {
    failRun = reject;
  });
  failed.catch(() => undefined);

  const begin = (order: FetchOrder): void => {
    fetchChunk(parts, runJob, order, layout).then(
      (result) => {
        controller.send({ kind: 'finished', order, result });
      },
      (error: unknown) => {
        failRun(error);
      },
    );
  };

  const step = (_state: null, message: RolloutMessage): null => {
    if (signal.aborted) return null;
    const take = takeMessage[message.kind] as (
      scheduler: RolloutScheduler,
      message: RolloutMessage,
      now: number,
    ) => void;
    take(scheduler, message, context.time.now());
    if (message.kind === 'layout') {
      layout = message.layout;
      watches.follow(scheduler.watched, layout);
    }
    job.progressed(scheduler.progress.heldCount);
    for (const order of scheduler.next(context.time.now())) begin(order);
    return null;
  };

  const controller = createController<null, RolloutMessage>(
    context.actors,
    `rollout-${manifest.digest}-${context.time.now()}`,
    null,
    step,
    context.log,
  );
  await using watches = createWeightsWatches(parts.peers, manifest.digest, (agent, indices) => {
    controller.send({ kind: 'peer', agent, indices });
  });
  watches.follow(scheduler.watched, layout);
  const ticks = setInterval(() => {
    controller.send({ kind: 'tick' });
  }, TICK_MILLISECONDS);
  const memberTicks = setInterval(() => {
    currentLayout(context, job.target, manifest.digest, signal).then(
      (next) => {
        controller.send({ kind: 'layout', layout: next });
      },
      () => undefined,
    );
  }, MEMBERS_INTERVAL_MILLISECONDS);
  controller.send({ kind: 'tick' });
  try {
    const verified = verifyArriving(parts.engine, store, manifest, signal, (index) => {
      controller.send({ kind: 'lost', index });
    });
    await Promise.race([verified, failed]);
  } finally {
    clearInterval(ticks);
    clearInterval(memberTicks);
    stopped.abort();
    controller.stop();
  }
}
