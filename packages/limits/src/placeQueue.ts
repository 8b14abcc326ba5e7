import { firstEventMilliseconds } from './firstEventTime.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/** A claim for one of an engine's places. */
export interface PlaceRequest {
  /** Names the request that the claim is for. */
  readonly owner: string;
  /** Expected time for which the place is taken, in milliseconds. */
  readonly expectedMilliseconds: number;
  /** Expected time for reading the prompt, in milliseconds. */
  readonly readMilliseconds: number;
  /** Time left for waiting and for the engine's other work, in milliseconds. */
  readonly slackMilliseconds: number;
  /** False for a claim that wants its answer at once. */
  readonly mayWait: boolean;
  /** Prompts that may be ahead at the engine, in milliseconds of reading. */
  readonly mostReadingMilliseconds: number;
  /** Places that may be taken already. */
  readonly mostTaken: number;
  /** Time after which the place is free again even without a release, in milliseconds. */
  readonly holdMilliseconds: number;
  /** Claims with a smaller rank are granted first. */
  readonly rank: number;
}

/** What becomes of a claim at once. */
export type PlaceDecision =
  | { readonly kind: 'granted'; readonly place: number }
  | { readonly kind: 'waiting'; readonly ticket: number }
  | { readonly kind: 'full'; readonly freeInMilliseconds: number };

/** What became of claims that waited. */
export type TicketOutcome =
  | { readonly kind: 'granted'; readonly ticket: number; readonly place: number }
  | { readonly kind: 'full'; readonly ticket: number; readonly freeInMilliseconds: number };

/** Places of one engine, with the claims that wait for them. */
export interface PlaceQueue {
  claim(request: PlaceRequest, now: Milliseconds): PlaceDecision;
  release(place: number, now: Milliseconds): readonly TicketOutcome[];
  /** Withdraws a claim whose caller has left. */
  withdraw(ticket: number): void;
  /** Takes back all that a request holds or waits for, for an entry that did not get the answer. */
  leave(owner: string, now: Milliseconds): readonly TicketOutcome[];
  /** Ends waits and holds whose time is over. */
  expire(now: Milliseconds): readonly TicketOutcome[];
  /** Time of the next end of a wait or hold, or of the prompts ahead of a wait; `null` when there is none. */
  nextExpiry(now: Milliseconds): Milliseconds | null;
  /** Sets how many places there are; those taken beyond the number stay until released. */
  resize(places: number, now: Milliseconds): readonly TicketOutcome[];
  /** Forgets all holders, for an engine that has restarted. */
  reset(now: Milliseconds): readonly TicketOutcome[];
  /** Time that the engine needs for the prompts that were granted, in milliseconds. */
  reading(now: Milliseconds): Milliseconds;
  /** Lets only claims in that are expected to end by a time; `null` lets all in again. */
  closeAt(time: Milliseconds | null): void;
  readonly taken: number;
  readonly waiting: number;
  readonly places: number;
}

interface Holder {
  readonly owner: string;
  readonly expectedEnd: Milliseconds;
  readonly latestEnd: Milliseconds;
}

interface Waiter {
  readonly ticket: number;
  readonly request: PlaceRequest;
  readonly until: Milliseconds;
}

/** Longest wait of a claim that is in time, in milliseconds: beyond it a queue only moves the refusal. */
const LONGEST_WAIT_MILLISECONDS = 160;

/** Part of an engine's time that goes into prompts while others write. */
const READING_SHARE = 0.6;

/** Time by which a claim may end after the engine closes, in milliseconds. */
const CLOSING_SLACK_MILLISECONDS = 250;

/** Time from the closing of an engine until it takes requests again, in milliseconds. */
const CLOSED_MILLISECONDS = 700;

/** Prediction for a place whose holder is already later than expected, in milliseconds. */
const OVERDUE_MILLISECONDS = 50;

/**
 * Creates the places of an engine.
 *
 * @remarks
 * Answers the load pattern in which arrivals stay above what an engine serves for many seconds.
 * There a claim that has to wait beyond its objective costs a place and earns little, so it is
 * refused at once when the expected ends of the holders and the claims ahead of it say that its
 * turn comes too late. A claim that is late already takes a free place but never waits for one: each
 * place that it got would make another claim late. One owner grants all places, so entries cannot send more than the engine
 * runs, however old their knowledge of its load is.
 *
 * Prompts that come together stretch the pauses of all streams at the engine and the time to each
 * other's first token, so claims also wait for the prompts ahead of them. Before the engine takes
 * other weights only short requests are let in, so that its places stay used while it drains.
 */
export function createPlaceQueue(initialPlaces: number): PlaceQueue {
  const holders = new Map<number, Holder>();
  let waiters: Waiter[] = [];
  let places = initialPlaces;
  let nextPlace = 1;
  let nextTicket = 1;
  let readUntil = Number.NEGATIVE_INFINITY;
  let closing: Milliseconds | null = null;

  const reading = (now: Milliseconds): number => Math.max(0, readUntil - now);

  const isOpenFor = (request: PlaceRequest, now: Milliseconds): boolean =>
    closing === null || now + request.expectedMilliseconds <= closing + CLOSING_SLACK_MILLISECONDS;

  const fullEngine = (): number => firstEventMilliseconds(Math.max(0, places - 1));

  const isInTime = (request: PlaceRequest, now: Milliseconds): boolean => {
    const needed = firstEventMilliseconds(holders.size) + reading(now);
    // Large prompts leave less time than a full engine needs, and would never be served at the peak.
    return needed <= Math.max(request.slackMilliseconds, fullEngine());
  };

  const reopensIn = (now: Milliseconds): number =>
    Math.max(0, (closing ?? now) - now) + CLOSED_MILLISECONDS;

  const hasRoom = (request: PlaceRequest, now: Milliseconds): boolean =>
    holders.size < Math.min(places, request.mostTaken) &&
    reading(now) <= request.mostReadingMilliseconds &&
    isInTime(request, now) &&
    isOpenFor(request, now);

  const longestWait = (request: PlaceRequest): number =>
    Math.min(LONGEST_WAIT_MILLISECONDS, Math.max(0, request.slackMilliseconds - fullEngine()));

  const grant = (request: PlaceRequest, now: Milliseconds): number => {
    readUntil = Math.max(now, readUntil) + request.readMilliseconds / READING_SHARE;
    const place = nextPlace++;
    holders.set(place, {
      owner: request.owner,
      expectedEnd: now + request.expectedMilliseconds,
      latestEnd: now + request.holdMilliseconds,
    });
    return place;
  };

  /** Time until the turn of a claim that has so many others ahead of it. */
  const predictedWait = (ahead: number, now: Milliseconds): number => {
    const ends = [...holders.values()]
      .map(({ expectedEnd }) => Math.max(expectedEnd, now + OVERDUE_MILLISECONDS))
      .sort((left, right) => left - right);
    const index = ahead + holders.size - places;
    const end = index < 0 ? now : (ends[Math.min(index, ends.length - 1)] ?? now);
    return Math.max(0, end - now, reading(now));
  };

  const fill = (now: Milliseconds): readonly TicketOutcome[] => {
    const granted: TicketOutcome[] = [];
    for (;;) {
      const next = waiters.find(({ request }) => hasRoom(request, now));
      if (next === undefined) break;
      waiters = waiters.filter((waiter) => waiter !== next);
      granted.push({ kind: 'granted', ticket: next.ticket, place: grant(next.request, now) });
    }
    return granted;
  };

  return {
    get taken() {
      return holders.size;
    },
    get waiting() {
      return waiters.length;
    },
    get places() {
      return places;
    },
    claim: (request, now) => {
      if (waiters.length === 0 && hasRoom(request, now)) {
        return { kind: 'granted', place: grant(request, now) };
      }
      if (!isOpenFor(request, now)) {
        return { kind: 'full', freeInMilliseconds: reopensIn(now) };
      }
      if (!request.mayWait) {
        return { kind: 'full', freeInMilliseconds: predictedWait(waiters.length, now) };
      }
      const ahead = waiters.filter(({ request: other }) => other.rank <= request.rank).length;
      const wait = predictedWait(ahead, now);
      const longest = longestWait(request);
      if (longest === 0 || wait > longest) return { kind: 'full', freeInMilliseconds: wait };
      const ticket = nextTicket++;
      const waiter = { ticket, request, until: now + longest };
      const later = waiters.findIndex(({ request: other }) => other.rank > request.rank);
      waiters = waiters.toSpliced(later < 0 ? waiters.length : later, 0, waiter);
      return { kind: 'waiting', ticket };
    },
    release: (place, now) => {
      holders.delete(place);
      return fill(now);
    },
    withdraw: (ticket) => {
      waiters = waiters.filter((waiter) => waiter.ticket !== ticket);
    },
    leave: (owner, now) => {
      for (const [place, holder] of holders) if (holder.owner === owner) holders.delete(place);
      waiters = waiters.filter(({ request }) => request.owner !== owner);
      return fill(now);
    },
    expire: (now) => {
      for (const [place, holder] of holders) if (now > holder.latestEnd) holders.delete(place);
      const over = waiters.filter(({ until }) => now >= until);
      waiters = waiters.filter(({ until }) => now < until);
      const refused = over.map(({ ticket }): TicketOutcome => {
        return { kind: 'full', ticket, freeInMilliseconds: predictedWait(waiters.length, now) };
      });
      return [...refused, ...fill(now)];
    },
    nextExpiry: (now) => {
      const ends = [
        ...waiters.map(({ until }) => until),
        ...[...holders.values()].map(({ latestEnd }) => latestEnd),
        ...(waiters.length > 0 && readUntil > now ? [readUntil] : []),
      ];
      return ends.length === 0 ? null : Math.min(...ends);
    },
    reading,
    closeAt: (time) => {
      closing = time;
    },
    resize: (next, now) => {
      places = next;
      return fill(now);
    },
    reset: (now) => {
      holders.clear();
      readUntil = now;
      return fill(now);
    },
  };
}
