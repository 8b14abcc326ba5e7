import { createController } from './controller.js';
import { fetchChunk, type RolloutJob, type RolloutParts } from './weightsFetch.js';
import type { RolloutMembers } from './weightsMembers.js';
import { createWeightsWatches } from './weightsWatches.js';
import type { RolloutLayout } from '@burdockrail/rollout/rolloutLayout.js';
import {
  createRolloutScheduler,
  type FetchTask,
  type FetchResult,
  type RolloutScheduler,
} from '@burdockrail/rollout/rolloutScheduler.js';

/** Time between two looks at bounds that passed, in milliseconds. */
const TICK_MILLISECONDS = 100;

/** Time for which news of peers is gathered before fetches are chosen, in milliseconds. */
const GATHER_MILLISECONDS = 5;

/** Time between two questions for the members when nothing happens to them, in milliseconds. */
const MEMBERS_INTERVAL_MILLISECONDS = 5_000;

/** Time after which a peer that died has left the membership for certain, in milliseconds. */
const DEPARTURE_MILLISECONDS = 2_200;

type RolloutMessage =
  | { readonly kind: 'tick' }
  | { readonly kind: 'layout'; readonly layout: RolloutLayout }
  | { readonly kind: 'peer'; readonly agent: string; readonly indices: readonly number[] | null }
  | { readonly kind: 'lost'; readonly index: number }
  | { readonly kind: 'finished'; readonly order: FetchTask; readonly result: FetchResult };

/** Takes a message that is not about the layout into the scheduler. */
function takeMessage(
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
      scheduler.recordFetchResult(message.order, message.result, now);
      return;
  }
}

/** The fetching side of one rollout. */
export interface RolloutSession extends AsyncDisposable {
  /** Rejects when the rollout cannot go on; never resolves. */
  readonly failed: Promise<never>;
  start(): void;
  /** Fetches a chunk again that the engine does not hold as it should. */
  readonly lose: (index: number) => void;
}

/** Creates a session that hosts the scheduler of one version. */
export function createRolloutSession(
  parts: RolloutParts,
  job: RolloutJob,
  members: RolloutMembers,
  firstLayout: RolloutLayout,
): RolloutSession {
  const { context, store } = parts;
  const { manifest, signal } = job;
  const { time } = context;
  let layout = firstLayout;
  let isChoosing = false;
  const timers = new Set<NodeJS.Timeout>();
  const scheduler = createRolloutScheduler(
    { plan: parts.plan, chunks: manifest.chunks, layout, random: context.random },
    time.now(),
  );
  for (const index of store.held(manifest.digest)) scheduler.progress.add(index, time.now());
  let fail: (error: unknown) => void = () => undefined;
  const failed = new Promise<never>((_resolve, reject) => {
    fail = reject;
  });
  failed.catch(() => undefined);

  const begin = (order: FetchTask): void => {
    fetchChunk(parts, job, order, layout).then((result) => {
      controller.send({ kind: 'finished', order, result });
    }, fail);
  };

  const choose = (): void => {
    job.progressed(scheduler.progress.heldCount);
    for (const order of scheduler.next(time.now())) begin(order);
  };

  const later = (milliseconds: number, action: () => void): void => {
    const timer = setTimeout(() => {
      timers.delete(timer);
      action();
    }, milliseconds);
    timers.add(timer);
  };

  const chooseSoon = (): void => {
    if (isChoosing) return;
    isChoosing = true;
    later(GATHER_MILLISECONDS, () => {
      isChoosing = false;
      controller.send({ kind: 'tick' });
    });
  };

  const refreshMembers = (): void => {
    members.current(signal).then(
      (next) => {
        if (next !== null) controller.send({ kind: 'layout', layout: next });
      },
      () => undefined,
    );
  };

  const takeLayout = (next: RolloutLayout): void => {
    layout = next;
    scheduler.setLayout(layout);
    watches.follow(scheduler.watched, layout);
  };

  const step = (_state: null, message: RolloutMessage): null => {
    if (signal.aborted) return null;
    if (message.kind === 'layout') takeLayout(message.layout);
    else takeMessage(scheduler, message, time.now());
    if (message.kind === 'peer') chooseSoon();
    else choose();
    return null;
  };

  const controller = createController<null, RolloutMessage>(
    context.actors,
    `rollout-${manifest.digest}-${time.now()}`,
    null,
    step,
    context.log,
  );

  const watches = createWeightsWatches(parts.peers, manifest.digest, (agent, indices) => {
    controller.send({ kind: 'peer', agent, indices });
    if (indices === null && !signal.aborted) later(DEPARTURE_MILLISECONDS, refreshMembers);
  });

  const every = (milliseconds: number, action: () => void): void => {
    timers.add(setInterval(action, milliseconds));
  };

  return {
    failed,
    start: () => {
      watches.follow(scheduler.watched, layout);
      every(TICK_MILLISECONDS, () => {
        controller.send({ kind: 'tick' });
      });
      every(MEMBERS_INTERVAL_MILLISECONDS, refreshMembers);
      controller.send({ kind: 'tick' });
    },
    lose: (index) => {
      controller.send({ kind: 'lost', index });
    },
    [Symbol.asyncDispose]: async () => {
      for (const timer of timers) clearTimeout(timer);
      controller.stop();
      await watches[Symbol.asyncDispose]();
    },
  };
}
