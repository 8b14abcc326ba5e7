import { createSlotQueue, type WaitingClaimOutcome } from '@burdockrail/limits/slotQueue.js';
import { createNamedLimit } from '@burdockrail/limits/namedLimit.js';
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
  | { readonly kind: 'full'; readonly freeInMilliseconds: number }
  /** The engine loads weights. */
  | { readonly kind: 'unloaded' };

/** Receives what happens to a request at an engine. */
export interface RunListener {
  /** Called after each pass that generated tokens for the request. */
  onTokens(isLast: boolean): void;
  /** The engine crashed before the last token. */
  onCrash(): void;
  /** The engine rests for a time, in milliseconds, and does not run the request. */
  onRefused(restMilliseconds: number): void;
}

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
  run(request: PassRequest, listener: RunListener): void;
  /** Ends all its requests; the engine serves again after a time, in milliseconds. */
  crash(downMilliseconds: number): void;
  /** Limit that the engine names, kept by its agent, in requests per second; `null` for none. */
  setLimit(requestsPerSecond: number | null): void;
  /** Time that its refusals name while it refuses all requests; `null` while it serves. */
  setRest(restMilliseconds: number | null): void;
  /** Generates nothing for a time, in milliseconds, and then goes on. */
  fallSilent(milliseconds: number): void;
  /** Loads other weights at a time: drains before it, and serves nothing until they are loaded. */
  loadWeightsAt(time: number): void;
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

/** Time before a load from which the engine drains, in milliseconds; the same as the agent's. */
const DRAIN_MILLISECONDS = 2_000;

/** Time from the end of the last request until the agent sees the loaded weights, in milliseconds. */
const LOAD_MILLISECONDS = 300;

/** Creates an idle engine. */
export function createSimulatedEngine(options: SimulatedEngineOptions): SimulatedEngine {
  const { clock, performance } = options;
  let passes = createEnginePasses(options.passes);
  const limit = createNamedLimit();
  const queue = createSlotQueue(performance.slots);
  const waitingClaims = new Map<number, (outcome: WaitingClaimOutcome) => void>();
  const listeners = new Map<number, RunListener>();
  let isBusy = false;
  let isLoading = false;
  let isDown = false;
  let restMilliseconds: number | null = null;
  let silentUntil = Number.NEGATIVE_INFINITY;

  const finishLoadWhenIdle = (): void => {
    if (!isLoading || passes.running + passes.waiting > 0) return;
    clock.schedule(LOAD_MILLISECONDS, () => {
      isLoading = false;
      queue.drainBy(null);
    });
  };

  const runPass = (): void => {
    if (isBusy) return;
    const end = passes.begin(clock.now());
    if (end === null) return;
    isBusy = true;
    const startedPasses = passes;
    const endPass = (): void => {
      if (passes !== startedPasses) return;
      if (clock.now() < silentUntil) {
        clock.schedule(silentUntil - clock.now(), endPass);
        return;
      }
      isBusy = false;
      for (const { id, isLast } of passes.end()) {
        listeners.get(id)?.onTokens(isLast);
        if (isLast) listeners.delete(id);
      }
      runPass();
      finishLoadWhenIdle();
    };
    clock.schedule(end - clock.now(), endPass);
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
      if (isLoading || isDown) {
        onResult({ kind: 'unloaded' });
        return;
      }
      const untilAllowed = limit.take(now);
      if (untilAllowed > 0) {
        onResult({ kind: 'full', freeInMilliseconds: untilAllowed });
        return;
      }
      const decision = queue.claim(toSlotRequest(work, performance, now), now);
      scheduleExpiry();
      if (decision.kind === 'full') limit.giveBack();
      if (decision.kind === 'waiting') waitingClaims.set(decision.ticket, onResult);
      else onResult(decision);
    },
    release: (slot) => {
      deliverOutcomes(queue.release(slot, clock.now()));
    },
    run: (request, listener) => {
      if (isDown) {
        listener.onCrash();
        return;
      }
      if (restMilliseconds !== null) {
        listener.onRefused(restMilliseconds);
        return;
      }
      listeners.set(request.id, listener);
      passes.add(request);
      runPass();
    },
    crash: (downMilliseconds) => {
      const interrupted = [...listeners.values()];
      listeners.clear();
      passes = createEnginePasses(options.passes);
      isBusy = false;
      isDown = true;
      limit.set(null, clock.now());
      deliverOutcomes(queue.reset(clock.now()));
      for (const listener of interrupted) listener.onCrash();
      clock.schedule(downMilliseconds, () => {
        isDown = false;
      });
    },
    setLimit: (requestsPerSecond) => {
      limit.set(requestsPerSecond, clock.now());
    },
    setRest: (milliseconds) => {
      restMilliseconds = milliseconds;
    },
    fallSilent: (milliseconds) => {
      silentUntil = clock.now() + milliseconds;
    },
    loadWeightsAt: (time) => {
      clock.schedule(time - DRAIN_MILLISECONDS - clock.now(), () => {
        queue.drainBy(time);
      });
      clock.schedule(time - clock.now(), () => {
        isLoading = true;
        finishLoadWhenIdle();
      });
    },
  };
}
