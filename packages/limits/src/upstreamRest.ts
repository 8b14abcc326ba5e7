import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { UpstreamIncarnation } from '@burdockrail/protocol/protocolDirectory.js';

/** Times for which upstreams want no requests from this process. */
export interface UpstreamRest {
  /**
   * Records the rest that an answer asks for; returns the rest in force, in milliseconds, or `null`
   * if nothing changed.
   *
   * @param restMilliseconds - duration of the rest; one that is no positive number is ignored.
   */
  record(
    upstream: UpstreamIncarnation,
    restMilliseconds: Milliseconds,
    now: Milliseconds,
  ): Milliseconds | null;
  /** Returns the time until an upstream may get requests, in milliseconds; 0 if it may now. */
  restMilliseconds(upstream: UpstreamIncarnation, now: Milliseconds): Milliseconds;
  /**
   * True after a rest while others should be preferred, since the first request after the rest
   * before was turned away again.
   */
  isAvoided(upstream: UpstreamIncarnation, now: Milliseconds): boolean;
  /** Records that an upstream served a request. */
  recordServed(upstream: UpstreamIncarnation, now: Milliseconds): void;
  /** Discards what no longer counts; the directory may lack an upstream that still rests. */
  discardEnded(now: Milliseconds): void;
}

/**
 * Longest rest, in milliseconds: a faulty upstream must not be lost to the service until its
 * restart.
 */
const LONGEST_REST_MILLISECONDS = 3_600_000;

/** Longest time after a rest in which others are preferred, in milliseconds. */
const LONGEST_AVOIDANCE_MILLISECONDS = 4_000;

interface KnownRest {
  readonly startedAt: number;
  readonly until: Milliseconds;
  /** Number of rests in a row before this one, without a served request in between. */
  readonly previousRests: number;
  readonly avoidedUntil: Milliseconds;
}

/**
 * Creates an empty table.
 *
 * @remarks
 * Answers overtake each other, so only time or a restart ends a rest: neither a later answer that
 * asks for a shorter rest nor one that serves a request does. An upstream that serves nothing looks
 * empty, and each refusal costs one of few retries; so one that goes on turning requests away is
 * asked half as often each time, unless there is no other.
 */
export function createUpstreamRest(): UpstreamRest {
  const rests = new Map<string, KnownRest>();
  const endOf = ({ id, startedAt }: UpstreamIncarnation): Milliseconds => {
    const known = rests.get(id);
    // What was prepared for an earlier incarnation would reach the present one.
    const isResting = known !== undefined && known.startedAt >= startedAt;
    return isResting ? known.until : Number.NEGATIVE_INFINITY;
  };
  return {
    record: (upstream, restMilliseconds, now) => {
      if (!(restMilliseconds > 0)) return null;
      const known = rests.get(upstream.id);
      // The answer of an incarnation that has ended says nothing about the next one.
      if (known !== undefined && known.startedAt > upstream.startedAt) return null;
      const rest = Math.min(restMilliseconds, LONGEST_REST_MILLISECONDS);
      if (now + rest <= endOf(upstream)) return null;
      const isRepeated = known?.startedAt === upstream.startedAt;
      const isNext = isRepeated && known.until <= now;
      const previousRests = isRepeated ? known.previousRests + (isNext ? 1 : 0) : 0;
      const avoidance = Math.min(LONGEST_AVOIDANCE_MILLISECONDS, rest * (2 ** previousRests - 1));
      const until = now + rest;
      rests.set(upstream.id, {
        startedAt: upstream.startedAt,
        until,
        previousRests,
        avoidedUntil: until + avoidance,
      });
      return rest;
    },
    isAvoided: ({ id, startedAt }, now) => {
      const known = rests.get(id);
      return known?.startedAt === startedAt && known.until <= now && now < known.avoidedUntil;
    },
    recordServed: ({ id, startedAt }, now) => {
      const known = rests.get(id);
      // An answer that comes during the rest belongs to a request from before.
      if (known?.startedAt === startedAt && known.until <= now) rests.delete(id);
    },
    restMilliseconds: (upstream, now) => Math.max(0, endOf(upstream) - now),
    discardEnded: (now) => {
      for (const [id, { avoidedUntil }] of rests)
        if (avoidedUntil + LONGEST_AVOIDANCE_MILLISECONDS <= now) rests.delete(id);
    },
  };
}
