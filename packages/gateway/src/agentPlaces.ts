import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { createPlaceQueue, type WaitingClaimOutcome } from '@burdockrail/limits/placeQueue.js';
import { toPlaceRequest } from '@burdockrail/limits/placeRequest.js';
import type { PlaceClaim, PlaceReply } from '@burdockrail/protocol/protocolDirectory.js';
import type { EngineRules } from '@burdockrail/routing/routeConfiguration.js';
import type { PeerHandlers } from '@burdockrail/transport/peerHandlers.js';
import type { GatewayContext } from './gatewayContext.js';

/** Shortest time between two looks at waits and holds, in milliseconds. */
const EXPIRE_MILLISECONDS = 5;

/** Time to come back while the engine loads weights, in milliseconds. */
const LOADING_MILLISECONDS = 400;

/** What the agent knows of its engine when a claim comes. */
export interface EngineStanding {
  /** Id that the engine announces itself under; empty while unknown. */
  readonly engine: string;
  /** Version that may be served now; `null` when there is none. */
  readonly versionOf: (model: string) => number | null;
  readonly rules: EngineRules | null;
  readonly slots: number;
}

/** The engine's places, as entries claim them. */
export interface AgentPlaces extends AsyncDisposable {
  /** Forgets all holders, because the engine has restarted. */
  reset(): void;
  /** Lets only requests in that end by a time, before the engine takes other weights. */
  closeAt(time: Milliseconds | null): void;
  readonly handlers: Partial<PeerHandlers>;
  readonly taken: number;
  readonly waiting: number;
}

/** Creates the places of the engine beside this agent. */
export function createAgentPlaces(
  context: GatewayContext,
  standing: () => EngineStanding,
): AgentPlaces {
  const { time, log, metrics } = context;
  const queue = createPlaceQueue(0);
  const tickets = new Map<number, (outcome: WaitingClaimOutcome) => void>();

  const settle = (outcomes: readonly WaitingClaimOutcome[]): void => {
    for (const outcome of outcomes) {
      tickets.get(outcome.ticket)?.(outcome);
      tickets.delete(outcome.ticket);
    }
  };

  let timer: NodeJS.Timeout | undefined;
  const scheduleExpiry = (): void => {
    clearTimeout(timer);
    const next = queue.nextExpiryAt(time.now());
    if (next === null) return;
    const wait = Math.max(EXPIRE_MILLISECONDS, next - time.now());
    timer = setTimeout(() => {
      settle(queue.expire(time.now()));
      scheduleExpiry();
    }, wait);
  };

  const reply = (
    kind: PlaceReply['kind'],
    engine: string,
    version: number,
    place: number,
    freeInMilliseconds: number,
  ): PlaceReply => ({
    kind,
    place,
    engine,
    version,
    taken: queue.taken,
    waiting: queue.waiting,
    places: queue.places,
    readingMilliseconds: queue.prefillBacklogMilliseconds(time.now()),
    freeInMilliseconds,
  });

  const refuse = (claim: PlaceClaim, answer: PlaceReply): PlaceReply => {
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

  const claimPlace = async (claim: PlaceClaim, signal: AbortSignal): Promise<PlaceReply> => {
    const now: Milliseconds = time.now();
    const { engine, rules, slots, versionOf } = standing();
    const version = versionOf(claim.model);
    if (engine === '' || version === null) {
      return refuse(claim, reply('unloaded', engine, 0, 0, LOADING_MILLISECONDS));
    }
    if (queue.places !== slots) settle(queue.resize(slots, now));
    const decision = queue.claim(toPlaceRequest(claim, rules, now), now);
    scheduleExpiry();
    if (decision.kind === 'granted') {
      metrics.count('burdockrail_places_total', { outcome: 'granted' });
      return reply('granted', engine, version, decision.place, 0);
    }
    if (decision.kind === 'full') {
      return refuse(claim, reply('full', engine, version, 0, decision.freeInMilliseconds));
    }
    const { ticket } = decision;
    const outcome = await new Promise<WaitingClaimOutcome>((resolve) => {
      tickets.set(ticket, resolve);
      signal.addEventListener('abort', () => {
        queue.cancelClaim(ticket);
        tickets.delete(ticket);
        resolve({ kind: 'full', ticket, freeInMilliseconds: 0 });
      });
    });
    if (outcome.kind === 'full') {
      return refuse(claim, reply('full', engine, version, 0, outcome.freeInMilliseconds));
    }
    if (signal.aborted) {
      settle(queue.release(outcome.place, time.now()));
      return reply('full', engine, version, 0, 0);
    }
    metrics.count('burdockrail_places_total', { outcome: 'granted' });
    // The weights may have changed while the claim waited.
    const present = standing().versionOf(claim.model) ?? version;
    return reply('granted', engine, present, outcome.place, 0);
  };

  return {
    get taken() {
      return queue.taken;
    },
    get waiting() {
      return queue.waiting;
    },
    reset: () => {
      settle(queue.reset(time.now()));
    },
    closeAt: (closing) => {
      queue.drainBy(closing);
    },
    handlers: {
      calls: {
        'place.claim': async (claim, { signal }) => claimPlace(claim, signal),
      },
      notifications: {
        'place.release': ({ place }) => {
          settle(queue.release(place, time.now()));
        },
        'place.withdraw': ({ requestId }) => {
          settle(queue.cancelRequest(requestId, time.now()));
        },
      },
    },
    [Symbol.asyncDispose]: async () => {
      clearTimeout(timer);
      return Promise.resolve();
    },
  };
}
