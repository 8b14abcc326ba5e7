import { timerDelay } from '@burdockrail/common/timerDelay.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { createNamedLimit } from '@burdockrail/limits/namedLimit.js';
import { createSlotQueue, type WaitingClaimOutcome } from '@burdockrail/limits/slotQueue.js';
import { toSlotRequest } from '@burdockrail/limits/slotRequest.js';
import { createUpstreamRest } from '@burdockrail/limits/upstreamRest.js';
import type {
  SlotClaim,
  SlotReply,
  UpstreamIncarnation,
} from '@burdockrail/protocol/protocolDirectory.js';
import type { EngineRules } from '@burdockrail/routing/routeConfiguration.js';
import type { PeerHandlers } from '@burdockrail/transport/peerHandlers.js';
import type { GatewayContext } from './gatewayContext.js';

/** Minimum delay of the timer that expires waiting claims and granted slots, in milliseconds. */
const MINIMUM_EXPIRY_DELAY_MILLISECONDS = 5;

/** Retry delay while the engine loads weights, in milliseconds. */
const LOADING_RETRY_AFTER_MILLISECONDS = 400;

/** State of the engine that decides on a claim. */
export interface EngineState {
  /** Upstream id of the engine; empty while unknown. */
  readonly engine: string;
  /** Version of a model that may be served now; `null` if there is none. */
  readonly servableVersion: (model: string) => number | null;
  readonly rules: EngineRules | null;
  readonly slots: number;
}

/** Admission control for the request slots of an engine. */
export interface AgentSlots extends AsyncDisposable {
  /** Frees all slots after a restart of the engine. */
  reset(): void;
  /** Admits only requests that end by a time, before other weights are loaded; `null` lifts it. */
  admitOnlyUntil(time: Milliseconds | null): void;
  readonly handlers: Partial<PeerHandlers>;
  readonly taken: number;
  readonly waiting: number;
}

/** Creates the admission control for the engine on this machine. */
export function createAgentSlots(
  context: GatewayContext,
  engineState: () => EngineState,
): AgentSlots {
  const { time, log, metrics } = context;
  const queue = createSlotQueue(0);
  const limit = createNamedLimit();
  const rest = createUpstreamRest();
  let restarts = 0;
  const incarnationOf = (engine: string): UpstreamIncarnation => ({
    id: engine,
    startedAt: restarts,
  });
  const ticketResolvers = new Map<number, (outcome: WaitingClaimOutcome) => void>();

  const resolveTickets = (outcomes: readonly WaitingClaimOutcome[]): void => {
    for (const outcome of outcomes) {
      ticketResolvers.get(outcome.ticket)?.(outcome);
      ticketResolvers.delete(outcome.ticket);
    }
  };

  let timer: NodeJS.Timeout | undefined;
  const scheduleExpiry = (): void => {
    clearTimeout(timer);
    const nextExpiry = queue.nextExpiryAt(time.now());
    if (nextExpiry === null) return;
    const delayMilliseconds = Math.max(MINIMUM_EXPIRY_DELAY_MILLISECONDS, nextExpiry - time.now());
    timer = setTimeout(() => {
      resolveTickets(queue.expire(time.now()));
      scheduleExpiry();
    }, timerDelay(delayMilliseconds));
  };

  const buildReply = (
    kind: SlotReply['kind'],
    engine: string,
    version: number,
    slot: number,
    freeInMilliseconds: number,
  ): SlotReply => ({
    kind,
    place: slot,
    engine,
    version,
    taken: queue.taken,
    waiting: queue.waiting,
    places: queue.slots,
    readingMilliseconds: queue.prefillBacklogMilliseconds(time.now()),
    freeInMilliseconds,
    requestsPerSecond: limit.requestsPerSecond,
  });

  const refuse = (claim: SlotClaim, answer: SlotReply): SlotReply => {
    metrics.count('burdockrail_places_total', { outcome: answer.kind });
    if (claim.mayWait || answer.kind === 'unloaded') {
      log.write('placeRefused', {
        request: claim.requestId,
        reason: answer.kind,
        taken: answer.taken,
        waiting: answer.waiting,
        places: answer.places,
        freeIn: Math.round(answer.freeInMilliseconds),
        slack: Math.round(claim.slackMilliseconds),
      });
    }
    return answer;
  };

  const claimSlot = async (claim: SlotClaim, signal: AbortSignal): Promise<SlotReply> => {
    const now: Milliseconds = time.now();
    const { engine, rules, slots, servableVersion } = engineState();
    const version = servableVersion(claim.model);
    if (engine === '' || version === null) {
      return refuse(claim, buildReply('unloaded', engine, 0, 0, LOADING_RETRY_AFTER_MILLISECONDS));
    }
    if (queue.slots !== slots) resolveTickets(queue.resize(slots, now));
    const restMilliseconds = rest.restMilliseconds(incarnationOf(engine), now);
    if (restMilliseconds > 0 && claim.mostTaken !== null) {
      // The engine may take requests of other entries, but is the last to be asked.
      const answer = buildReply('full', engine, version, 0, restMilliseconds);
      return refuse(claim, { ...answer, taken: queue.slots });
    }
    const untilAllowed = limit.take(now);
    if (untilAllowed > 0) {
      // Entries ask an engine with free slots first; this one has none to give.
      const answer = buildReply('full', engine, version, 0, untilAllowed);
      return refuse(claim, { ...answer, taken: queue.slots });
    }
    const decision = queue.claim(toSlotRequest(claim, rules, now), now);
    scheduleExpiry();
    if (decision.kind === 'granted') {
      metrics.count('burdockrail_places_total', { outcome: 'granted' });
      return buildReply('granted', engine, version, decision.slot, 0);
    }
    if (decision.kind === 'full') {
      limit.giveBack();
      return refuse(claim, buildReply('full', engine, version, 0, decision.freeInMilliseconds));
    }
    const { ticket } = decision;
    const outcome = await new Promise<WaitingClaimOutcome>((resolve) => {
      ticketResolvers.set(ticket, resolve);
      signal.addEventListener('abort', () => {
        queue.cancelClaim(ticket);
        ticketResolvers.delete(ticket);
        resolve({ kind: 'full', ticket, freeInMilliseconds: 0 });
      });
    });
    if (outcome.kind === 'full') {
      limit.giveBack();
      return refuse(claim, buildReply('full', engine, version, 0, outcome.freeInMilliseconds));
    }
    if (signal.aborted) {
      limit.giveBack();
      resolveTickets(queue.release(outcome.slot, time.now()));
      return buildReply('full', engine, version, 0, 0);
    }
    metrics.count('burdockrail_places_total', { outcome: 'granted' });
    // The weights may have changed while the claim waited.
    const currentVersion = engineState().servableVersion(claim.model) ?? version;
    return buildReply('granted', engine, currentVersion, outcome.slot, 0);
  };

  return {
    get taken() {
      return queue.taken;
    },
    get waiting() {
      return queue.waiting;
    },
    reset: () => {
      limit.set(null, time.now());
      restarts += 1;
      resolveTickets(queue.reset(time.now()));
    },
    admitOnlyUntil: (endsBy) => {
      queue.drainBy(endsBy);
    },
    handlers: {
      calls: {
        'place.claim': async (claim, { signal }) => claimSlot(claim, signal),
      },
      notifications: {
        'place.limit': ({ engine, requestsPerSecond }) => {
          if (engine !== engineState().engine) return;
          // Entries whose grants are older report the same limit again.
          if (requestsPerSecond === limit.requestsPerSecond) return;
          log.write('upstreamLimited', {
            upstream: engine,
            requestsPerSecond,
            former: limit.requestsPerSecond,
          });
          limit.set(requestsPerSecond, time.now());
        },
        'place.rest': ({ engine, restMilliseconds }) => {
          if (engine !== engineState().engine) return;
          rest.record(incarnationOf(engine), restMilliseconds, time.now());
        },
        'place.release': ({ place: slot }) => {
          resolveTickets(queue.release(slot, time.now()));
        },
        'place.withdraw': ({ requestId }) => {
          resolveTickets(queue.cancelRequest(requestId, time.now()));
        },
      },
    },
    [Symbol.asyncDispose]: async () => {
      clearTimeout(timer);
      return Promise.resolve();
    },
  };
}
