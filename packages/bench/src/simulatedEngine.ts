import { createSlotQueue, type WaitingClaimOutcome } from '@burdockrail/limits/slotQueue.js';
import {
  toSlotRequest,
  type ClaimWork,
  type EnginePerformance,
} from '@burdockrail/limits/slotRequest.js';
import { engineLoad } from '@burdockrail/routing/slotSearch.js';
import {
  createEnginePasses,
  type PassRequest,
  type PassSettings,
} from '@burdockrail/standins/enginePasses.js';
import type { VirtualClock } from './virtualClock.js';

/** Result of a claim for a slot. */
export type ClaimResult =
  | { readonly kind: 'granted'; readonly slot: number }
  | { readonly kind: 'full'; readonly freeInMilliseconds: number };

/** An engine with the agent that grants its slots, simulated in virtual time. */
export interface SimulatedEngine {
  readonly id: string;
  readonly dataCentre: string;
  /** Running and waiting requests, as the engine reports them. */
  readonly requests: number;
  /** Load as the agent reports it, as a share of the slots. */
  readonly load: number;
  /** Taken slots plus waiting claims. */
  readonly taken: number;
  claim(work: ClaimWork, onResult: (result: ClaimResult) => void): void;
  release(slot: number): void;
  /** Runs a request; `onTokens` is called after each pass that generated tokens for it. */
  run(request: PassRequest, onTokens: (isLast: boolean) => void): void;
}

/** Options of {@link createSimulatedEngine}. */
export interface SimulatedEngineOptions {
  readonly clock: VirtualClock;
  readonly id: string;
  readonly dataCentre: string;
  readonly performance: EnginePerformance;
  readonly passes: PassSettings;
}

/** Shortest interval between checks for expired claims, in milliseconds; the same as the agent's. */
const MINIMUM_EXPIRY_INTERVAL_MILLISECONDS = 5;

/** Creates an idle engine. */
export function createSimulatedEngine(options: SimulatedEngineOptions): SimulatedEngine {
  const { clock, performance } = options;
  const passes = createEnginePasses(options.passes);
  const queue = createSlotQueue(performance.slots);
  const waitingClaims = new Map<number, (outcome: WaitingClaimOutcome) => void>();
  const tokenListeners = new Map<number, (isLast: boolean) => void>();
  let isBusy = false;

  const runPass = (): void => {
    if (isBusy) return;
    const end = passes.begin(clock.now());
    if (end === null) return;
    isBusy = true;
    clock.schedule(end - clock.now(), () => {
      isBusy = false;
      for (const { id, isLast } of passes.end()) {
        tokenListeners.get(id)?.(isLast);
        if (isLast) tokenListeners.delete(id);
      }
      runPass();
    });
  };

  const deliverOutcomes = (outcomes: readonly WaitingClaimOutcome[]): void => {
    for (const outcome of outcomes) {
      waitingClaims.get(outcome.ticket)?.(outcome);
      waitingClaims.delete(outcome.ticket);
    }
  };

  const scheduleExpiry = (): void => {
    const next = queue.nextExpiryAt(clock.now());
    if (next === null) return;
    clock.schedule(Math.max(MINIMUM_EXPIRY_INTERVAL_MILLISECONDS, next - clock.now()), () => {
      deliverOutcomes(queue.expire(clock.now()));
      if (queue.waiting > 0) scheduleExpiry();
    });
  };

  return {
    id: options.id,
    dataCentre: options.dataCentre,
    get requests() {
      return passes.running + passes.waiting;
    },
    get load() {
      const { taken, waiting, slots } = queue;
      return engineLoad({
        taken,
        waiting,
        places: slots,
        readingMilliseconds: queue.prefillBacklogMilliseconds(clock.now()),
      });
    },
    get taken() {
      return queue.taken + queue.waiting;
    },
    claim: (work, onResult) => {
      const now = clock.now();
      const decision = queue.claim(toSlotRequest(work, performance, now), now);
      scheduleExpiry();
      if (decision.kind === 'waiting') waitingClaims.set(decision.ticket, onResult);
      else onResult(decision);
    },
    release: (slot) => {
      deliverOutcomes(queue.release(slot, clock.now()));
    },
    run: (request, onTokens) => {
      tokenListeners.set(request.id, onTokens);
      passes.add(request);
      runPass();
    },
  };
}
