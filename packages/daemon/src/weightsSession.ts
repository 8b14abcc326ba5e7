import { createController } from './controller.js';
import { fetchChunk, type RolloutJob, type RolloutDependencies } from './weightsFetch.js';
import type { RolloutMembers } from './weightsMembers.js';
import { createWeightsWatches } from './weightsWatches.js';
import type { RolloutLayout } from '@burdockrail/rollout/rolloutLayout.js';
import {
  createRolloutScheduler,
  type FetchTask,
  type FetchResult,
  type RolloutScheduler,
} from '@burdockrail/rollout/rolloutScheduler.js';

/** Interval at which the scheduler checks for expired timeouts, in milliseconds. */
const TICK_INTERVAL_MILLISECONDS = 100;

/** Time for which updates from peers are collected before fetches are chosen, in milliseconds. */
const PEER_BATCH_MILLISECONDS = 5;

/** Interval at which the members are refreshed, in milliseconds. */
const MEMBERS_INTERVAL_MILLISECONDS = 5_000;

/** Delay after which a crashed peer has certainly left the membership, in milliseconds. */
const DEPARTURE_DELAY_MILLISECONDS = 2_200;

type RolloutMessage =
  | { readonly kind: 'tick' }
  | { readonly kind: 'layout'; readonly layout: RolloutLayout }
  | { readonly kind: 'peer'; readonly agent: string; readonly indices: readonly number[] | null }
  | { readonly kind: 'lost'; readonly index: number }
  | { readonly kind: 'finished'; readonly task: FetchTask; readonly result: FetchResult };

/** Applies a message other than a layout change to the scheduler. */
function applyMessage(
  scheduler: RolloutScheduler,
  message: Exclude<RolloutMessage, { readonly kind: 'layout' }>,
  now: number,
): void {
  switch (message.kind) {
    case 'tick':
      return;
    case 'peer':
      if (message.indices === null) scheduler.removePeer(message.agent);
      else scheduler.addPeerChunks(message.agent, message.indices);
      return;
    case 'lost':
      scheduler.progress.remove(message.index);
      return;
    case 'finished':
      scheduler.recordFetchResult(message.task, message.result, now);
      return;
  }
}

/** Fetches the chunks of one rollout. */
export interface RolloutSession extends AsyncDisposable {
  /** Rejects if the rollout cannot continue; never resolves. */
  readonly failed: Promise<never>;
  start(): void;
  /** Fetches a chunk again because the engine's copy is missing or corrupt. */
  readonly refetch: (index: number) => void;
}

/** Creates the session that runs the scheduler of one version. */
export function createRolloutSession(
  dependencies: RolloutDependencies,
  job: RolloutJob,
  members: RolloutMembers,
  firstLayout: RolloutLayout,
): RolloutSession {
  const { context, store } = dependencies;
  const { manifest, signal } = job;
  const { time } = context;
  let layout = firstLayout;
  let isTickScheduled = false;
  const timers = new Set<NodeJS.Timeout>();
  const scheduler = createRolloutScheduler(
    { plan: dependencies.plan, chunks: manifest.chunks, layout, random: context.random },
    time.now(),
  );
  for (const index of store.held(manifest.digest)) scheduler.progress.add(index, time.now());
  let rejectFailed: (error: unknown) => void = () => undefined;
  const failed = new Promise<never>((_resolve, reject) => {
    rejectFailed = reject;
  });
  failed.catch(() => undefined);

  const startFetch = (task: FetchTask): void => {
    fetchChunk(dependencies, job, task, layout).then((result) => {
      controller.send({ kind: 'finished', task, result });
    }, rejectFailed);
  };

  const startNextFetches = (): void => {
    job.onProgress(scheduler.progress.heldCount);
    for (const task of scheduler.next(time.now())) startFetch(task);
  };

  const runAfter = (milliseconds: number, action: () => void): void => {
    const timer = setTimeout(() => {
      timers.delete(timer);
      action();
    }, milliseconds);
    timers.add(timer);
  };

  const scheduleTick = (): void => {
    if (isTickScheduled) return;
    isTickScheduled = true;
    runAfter(PEER_BATCH_MILLISECONDS, () => {
      isTickScheduled = false;
      controller.send({ kind: 'tick' });
    });
  };

  const refreshMembers = (): void => {
    members.fetchLayoutChange(signal).then(
      (next) => {
        if (next !== null) controller.send({ kind: 'layout', layout: next });
      },
      () => undefined,
    );
  };

  const applyLayout = (next: RolloutLayout): void => {
    layout = next;
    scheduler.setLayout(layout);
    watches.setPeers(scheduler.watched, layout);
  };

  const step = (_state: null, message: RolloutMessage): null => {
    if (signal.aborted) return null;
    if (message.kind === 'layout') applyLayout(message.layout);
    else applyMessage(scheduler, message, time.now());
    if (message.kind === 'peer') scheduleTick();
    else startNextFetches();
    return null;
  };

  const controller = createController<null, RolloutMessage>(
    context.actors,
    `rollout-${manifest.digest}-${time.now()}`,
    null,
    step,
    context.log,
  );

  const watches = createWeightsWatches(dependencies.peers, manifest.digest, (agent, indices) => {
    controller.send({ kind: 'peer', agent, indices });
    if (indices === null && !signal.aborted) runAfter(DEPARTURE_DELAY_MILLISECONDS, refreshMembers);
  });

  const runEvery = (milliseconds: number, action: () => void): void => {
    timers.add(setInterval(action, milliseconds));
  };

  return {
    failed,
    start: () => {
      watches.setPeers(scheduler.watched, layout);
      runEvery(TICK_INTERVAL_MILLISECONDS, () => {
        controller.send({ kind: 'tick' });
      });
      runEvery(MEMBERS_INTERVAL_MILLISECONDS, refreshMembers);
      controller.send({ kind: 'tick' });
    },
    refetch: (index) => {
      controller.send({ kind: 'lost', index });
    },
    [Symbol.asyncDispose]: async () => {
      for (const timer of timers) clearTimeout(timer);
      controller.stop();
      await watches[Symbol.asyncDispose]();
    },
  };
}
