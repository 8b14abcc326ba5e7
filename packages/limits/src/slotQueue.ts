import { firstEventMilliseconds } from './firstEventTime.js';
import { createPrefillBacklog } from './prefillBacklog.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/** A claim for one of an engine's slots. */
export interface SlotRequest {
  /** Request that the claim is for. */
  readonly requestId: string;
  /** Expected time that the request occupies the slot, in milliseconds. */
  readonly expectedDurationMilliseconds: number;
  /** Expected prefill time of the prompt, in milliseconds. */
  readonly prefillMilliseconds: number;
  /**
   * Time left for waiting and for the engine's other work within the latency objective, in
   * milliseconds.
   */
  readonly slackMilliseconds: number;
  /** False for a claim that must be decided immediately. */
  readonly mayWait: boolean;
  /** Highest prefill backlog of the engine at which the claim may be granted, in milliseconds. */
  readonly mostReadingMilliseconds: number;
  /** The claim is granted only while fewer slots than this are taken. */
  readonly mostTaken: number;
  /** Lease time after which the slot is freed even without a release, in milliseconds. */
  readonly holdMilliseconds: number;
  /** Claims with a smaller rank are granted first. */
  readonly rank: number;
}

/** Immediate decision on a claim. */
export type SlotDecision =
  | { readonly kind: 'granted'; readonly slot: number }
  | { readonly kind: 'waiting'; readonly ticket: number }
  | { readonly kind: 'full'; readonly freeInMilliseconds: number };

/** Decision on a claim that waited. */
export type WaitingClaimOutcome =
  | { readonly kind: 'granted'; readonly ticket: number; readonly slot: number }
  | { readonly kind: 'full'; readonly ticket: number; readonly freeInMilliseconds: number };

/** Slots of one engine and the claims that wait for them. */
export interface SlotQueue {
  claim(request: SlotRequest, now: Milliseconds): SlotDecision;
  release(slot: number, now: Milliseconds): readonly WaitingClaimOutcome[];
  /** Withdraws a waiting claim whose caller has disconnected. */
  cancelClaim(ticket: number): void;
  /**
   * Releases every slot and waiting claim of a request, for an entry that did not receive the
   * answer.
   */
  cancelRequest(requestId: string, now: Milliseconds): readonly WaitingClaimOutcome[];
  /** Refuses claims that have waited too long and frees slots whose lease has expired. */
  expire(now: Milliseconds): readonly WaitingClaimOutcome[];
  /**
   * Time at which the next wait, lease or prefill backlog that claims wait for ends; `null` when
   * there is none.
   */
  nextExpiryAt(now: Milliseconds): Milliseconds | null;
  /** Sets the number of slots; slots taken above it stay taken until released. */
  resize(slots: number, now: Milliseconds): readonly WaitingClaimOutcome[];
  /** Forgets all holders, for an engine that has restarted. */
  reset(now: Milliseconds): readonly WaitingClaimOutcome[];
  /**
   * Prefill backlog: time that the engine still needs for the prompts granted so far, in
   * milliseconds.
   */
  prefillBacklogMilliseconds(now: Milliseconds): Milliseconds;
  /**
   * Drains the engine: accepts only claims expected to end by the given time; `null` ends the
   * drain.
   */
  drainBy(time: Milliseconds | null): void;
  readonly taken: number;
  readonly waiting: number;
  readonly slots: number;
}

interface SlotHolder {
  readonly requestId: string;
  readonly expectedEndAt: Milliseconds;
  readonly leaseExpiresAt: Milliseconds;
}

interface WaitingClaim {
  readonly ticket: number;
  readonly request: SlotRequest;
  readonly waitUntil: Milliseconds;
}

/** Longest wait of a claim, in milliseconds: queueing for longer would only delay the refusal. */
const LONGEST_WAIT_MILLISECONDS = 160;

/** Share of an engine's time available for prefill while it decodes other requests. */
const PREFILL_SHARE = 0.6;

/**
 * Time after the drain deadline by which an accepted claim must be expected to end, in
 * milliseconds.
 */
const DRAIN_SLACK_MILLISECONDS = 250;

/**
 * Time from the drain deadline until the engine accepts requests with its new weights, in
 * milliseconds.
 */
const WEIGHTS_LOAD_MILLISECONDS = 700;

/**
 * Predicted remaining time of a holder that has exceeded its expected duration, in milliseconds.
 */
const OVERDUE_MILLISECONDS = 50;

/**
 * Creates the slot queue of an engine.
 *
 * @remarks
 * Designed for overload that lasts many seconds. A claim that would miss its latency objective
 * while waiting is refused immediately, based on the expected ends of the holders and the claims
 * ahead of it. A claim that is already late may take a free slot but never waits for one, because
 * each slot given to it would make another claim late. The agent alone grants the engine's slots,
 * so entries cannot overload the engine even when their view of its load is stale.
 *
 * Concurrent prefills lengthen the pauses of all streams at the engine and each other's time to
 * first token, so claims also wait for the prefill backlog. While the engine drains before it loads
 * other weights, short requests are still accepted so that its slots stay in use.
 */
export function createSlotQueue(initialSlots: number): SlotQueue {
  const holders = new Map<number, SlotHolder>();
  let waitingClaims: WaitingClaim[] = [];
  let slots = initialSlots;
  let nextSlot = 1;
  let nextTicket = 1;
  const prefills = createPrefillBacklog();
  let drainDeadline: Milliseconds | null = null;

  const prefillBacklog = (now: Milliseconds): number => prefills.remaining(now);

  const endsBeforeDrain = (request: SlotRequest, now: Milliseconds): boolean =>
    drainDeadline === null ||
    now + request.expectedDurationMilliseconds <= drainDeadline + DRAIN_SLACK_MILLISECONDS;

  const fullEngineFirstEvent = (): number => firstEventMilliseconds(Math.max(0, slots - 1));

  const meetsObjective = (request: SlotRequest, now: Milliseconds): boolean => {
    const needed = firstEventMilliseconds(holders.size) + prefillBacklog(now);
    // Large prompts leave less slack than a full engine needs; without the lower bound they would
    // never be served at peak load.
    return needed <= Math.max(request.slackMilliseconds, fullEngineFirstEvent());
  };

  const millisecondsUntilReopened = (now: Milliseconds): number =>
    Math.max(0, (drainDeadline ?? now) - now) + WEIGHTS_LOAD_MILLISECONDS;

  const canGrant = (request: SlotRequest, now: Milliseconds): boolean =>
    holders.size < Math.min(slots, request.mostTaken) &&
    prefillBacklog(now) <= request.mostReadingMilliseconds &&
    meetsObjective(request, now) &&
    endsBeforeDrain(request, now);

  const maximumWait = (request: SlotRequest): number =>
    Math.min(
      LONGEST_WAIT_MILLISECONDS,
      Math.max(0, request.slackMilliseconds - fullEngineFirstEvent()),
    );

  const grant = (request: SlotRequest, now: Milliseconds): number => {
    const slot = nextSlot++;
    prefills.add(slot, request.prefillMilliseconds / PREFILL_SHARE, now);
    holders.set(slot, {
      requestId: request.requestId,
      expectedEndAt: now + request.expectedDurationMilliseconds,
      leaseExpiresAt: now + request.holdMilliseconds,
    });
    return slot;
  };

  const free = (slot: number, now: Milliseconds): void => {
    holders.delete(slot);
    prefills.remove(slot, now);
  };

  /** Expected wait of a claim with `ahead` other claims in front of it, in milliseconds. */
  const predictedWait = (ahead: number, now: Milliseconds): number => {
    const ends = [...holders.values()]
      .map(({ expectedEndAt }) => Math.max(expectedEndAt, now + OVERDUE_MILLISECONDS))
      .sort((left, right) => left - right);
    const index = ahead + holders.size - slots;
    const end = index < 0 ? now : (ends[Math.min(index, ends.length - 1)] ?? now);
    return Math.max(0, end - now, prefillBacklog(now));
  };

  const grantWaiting = (now: Milliseconds): readonly WaitingClaimOutcome[] => {
    const granted: WaitingClaimOutcome[] = [];
    for (;;) {
      const next = waitingClaims.find(({ request }) => canGrant(request, now));
      if (next === undefined) break;
      waitingClaims = waitingClaims.filter((waitingClaim) => waitingClaim !== next);
      granted.push({ kind: 'granted', ticket: next.ticket, slot: grant(next.request, now) });
    }
    return granted;
  };

  return {
    get taken() {
      return holders.size;
    },
    get waiting() {
      return waitingClaims.length;
    },
    get slots() {
      return slots;
    },
    claim: (request, now) => {
      if (waitingClaims.length === 0 && canGrant(request, now)) {
        return { kind: 'granted', slot: grant(request, now) };
      }
      if (!endsBeforeDrain(request, now)) {
        return { kind: 'full', freeInMilliseconds: millisecondsUntilReopened(now) };
      }
      if (!request.mayWait) {
        return { kind: 'full', freeInMilliseconds: predictedWait(waitingClaims.length, now) };
      }
      const ahead = waitingClaims.filter(({ request: other }) => other.rank <= request.rank).length;
      const wait = predictedWait(ahead, now);
      const maximum = maximumWait(request);
      if (maximum === 0 || wait > maximum) return { kind: 'full', freeInMilliseconds: wait };
      const ticket = nextTicket++;
      const waitingClaim = { ticket, request, waitUntil: now + maximum };
      const firstLowerPriorityIndex = waitingClaims.findIndex(
        ({ request: other }) => other.rank > request.rank,
      );
      waitingClaims = waitingClaims.toSpliced(
        firstLowerPriorityIndex < 0 ? waitingClaims.length : firstLowerPriorityIndex,
        0,
        waitingClaim,
      );
      return { kind: 'waiting', ticket };
    },
    release: (slot, now) => {
      free(slot, now);
      return grantWaiting(now);
    },
    cancelClaim: (ticket) => {
      waitingClaims = waitingClaims.filter((waitingClaim) => waitingClaim.ticket !== ticket);
    },
    cancelRequest: (requestId, now) => {
      for (const [slot, holder] of holders) if (holder.requestId === requestId) free(slot, now);
      waitingClaims = waitingClaims.filter(({ request }) => request.requestId !== requestId);
      return grantWaiting(now);
    },
    expire: (now) => {
      for (const [slot, holder] of holders) if (now > holder.leaseExpiresAt) free(slot, now);
      const expired = waitingClaims.filter(({ waitUntil }) => now >= waitUntil);
      waitingClaims = waitingClaims.filter(({ waitUntil }) => now < waitUntil);
      const refused = expired.map(({ ticket }): WaitingClaimOutcome => {
        return {
          kind: 'full',
          ticket,
          freeInMilliseconds: predictedWait(waitingClaims.length, now),
        };
      });
      return [...refused, ...grantWaiting(now)];
    },
    nextExpiryAt: (now) => {
      const ends = [
        ...waitingClaims.map(({ waitUntil }) => waitUntil),
        ...[...holders.values()].map(({ leaseExpiresAt }) => leaseExpiresAt),
        ...(waitingClaims.length > 0 && prefills.endsAt > now ? [prefills.endsAt] : []),
      ];
      return ends.length === 0 ? null : Math.min(...ends);
    },
    prefillBacklogMilliseconds: prefillBacklog,
    drainBy: (time) => {
      drainDeadline = time;
    },
    resize: (newSlots, now) => {
      slots = newSlots;
      return grantWaiting(now);
    },
    reset: (now) => {
      holders.clear();
      prefills.clear(now);
      return grantWaiting(now);
    },
  };
}
