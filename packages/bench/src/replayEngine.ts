import { createPlaceQueue, type WaitingClaimOutcome } from '@burdockrail/limits/placeQueue.js';
import {
  toPlaceRequest,
  type ClaimWork,
  type EnginePerformance,
} from '@burdockrail/limits/placeRequest.js';
import { engineLoad } from '@burdockrail/routing/placeSearch.js';
import {
  createEnginePasses,
  type PassRequest,
  type PassSettings,
} from '@burdockrail/standins/enginePasses.js';
import type { VirtualClock } from './virtualClock.js';

/** What a claim came to; the place is 0 unless it was granted. */
export type ClaimEnd =
  | { readonly kind: 'granted'; readonly place: number }
  | { readonly kind: 'full'; readonly freeInMilliseconds: number };

/** An engine and the agent that grants its places, in virtual time. */
export interface ReplayEngineSite {
  readonly id: string;
  readonly dataCentre: string;
  /** Requests that run or wait at the engine, as its report would say. */
  readonly requests: number;
  /** Load as the agent tells it, in shares of the places. */
  readonly load: number;
  readonly taken: number;
  claim(work: ClaimWork, then: (end: ClaimEnd) => void): void;
  release(place: number): void;
  /** Runs a request; `onTokens` is called at the end of each pass that wrote for it. */
  run(request: PassRequest, onTokens: (isLast: boolean) => void): void;
}

/** Options of {@link createReplayEngine}. */
export interface ReplayEngineOptions {
  readonly clock: VirtualClock;
  readonly id: string;
  readonly dataCentre: string;
  readonly pace: EnginePerformance;
  readonly passes: PassSettings;
}

/** Shortest time between two looks at waits that end, in milliseconds: the agent's own. */
const EXPIRE_MILLISECONDS = 5;

/** Creates an idle engine. */
export function createReplayEngine(options: ReplayEngineOptions): ReplayEngineSite {
  const { clock, pace } = options;
  const passes = createEnginePasses(options.passes);
  const queue = createPlaceQueue(pace.slots);
  const tickets = new Map<number, (outcome: WaitingClaimOutcome) => void>();
  const outputs = new Map<number, (isLast: boolean) => void>();
  let isBusy = false;

  const pass = (): void => {
    if (isBusy) return;
    const end = passes.begin(clock.now());
    if (end === null) return;
    isBusy = true;
    clock.after(end - clock.now(), () => {
      isBusy = false;
      for (const { id, isLast } of passes.end()) {
        outputs.get(id)?.(isLast);
        if (isLast) outputs.delete(id);
      }
      pass();
    });
  };

  const settle = (outcomes: readonly WaitingClaimOutcome[]): void => {
    for (const outcome of outcomes) {
      tickets.get(outcome.ticket)?.(outcome);
      tickets.delete(outcome.ticket);
    }
  };

  const watchExpiry = (): void => {
    const next = queue.nextExpiryAt(clock.now());
    if (next === null) return;
    clock.after(Math.max(EXPIRE_MILLISECONDS, next - clock.now()), () => {
      settle(queue.expire(clock.now()));
      if (queue.waiting > 0) watchExpiry();
    });
  };

  return {
    id: options.id,
    dataCentre: options.dataCentre,
    get requests() {
      return passes.running + passes.waiting;
    },
    get load() {
      const { taken, waiting, places } = queue;
      return engineLoad({
        taken,
        waiting,
        places,
        readingMilliseconds: queue.prefillBacklogMilliseconds(clock.now()),
      });
    },
    get taken() {
      return queue.taken + queue.waiting;
    },
    claim: (work, then) => {
      const now = clock.now();
      const decision = queue.claim(toPlaceRequest(work, pace, now), now);
      watchExpiry();
      if (decision.kind === 'waiting') tickets.set(decision.ticket, then);
      else then(decision);
    },
    release: (place) => {
      settle(queue.release(place, clock.now()));
    },
    run: (request, onTokens) => {
      outputs.set(request.id, onTokens);
      passes.add(request);
      pass();
    },
  };
}
