import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/** What an entry knows of a service's capacity; reports lag behind the truth. */
export interface CapacityView {
  /** Requests that all upstreams of the service run at the same time without loss of pace. */
  readonly capacity: number;
  readonly running: number;
  readonly waiting: number;
  /** Entries among which the capacity is divided. */
  readonly entries: number;
}

/** Bound on the requests that one entry has in progress at a service. */
export interface ConcurrencyLimit {
  readonly limit: number;
  readonly adjustedAt: Milliseconds;
}

/** Time between two adjustments: reports need about that long to show the one before. */
const ADJUSTMENT_INTERVAL_MILLISECONDS = 1_000;

/** Share of the capacity that waits at upstreams above which the limit falls. */
const WAITING_SHARE = 0.1;

/** Share of the capacity in use below which the limit rises. */
const BUSY_SHARE = 0.8;

/** Factor by which the limit falls. */
const DECREASE_FACTOR = 0.8;

/** Share of the capacity by which the limit rises. */
const INCREASE_SHARE = 0.1;

/** An entry's part of the capacity, which it may use whatever the reports say. */
export function fairPart(view: CapacityView): number {
  return Math.max(1, Math.ceil(view.capacity / Math.max(1, view.entries)));
}

/** The limit before any adjustment. */
export function initialLimit(view: CapacityView, now: Milliseconds): ConcurrencyLimit {
  return { limit: fairPart(view), adjustedAt: now };
}

function adjusted(limit: number, view: CapacityView, inProgress: number): number {
  if (view.waiting > view.capacity * WAITING_SHARE) return limit * DECREASE_FACTOR;
  const isShort = inProgress >= limit;
  const hasSpare = view.running + view.waiting < view.capacity * BUSY_SHARE;
  return isShort && hasSpare ? limit + Math.max(1, view.capacity * INCREASE_SHARE) : limit;
}

/**
 * Follows the load reports: additive increase while upstreams have room and this entry needs it,
 * multiplicative decrease while requests wait at upstreams.
 *
 * @remarks
 * Never falls below the entry's part, so a team behind a quiet entry is not crowded out by one
 * behind a busy entry; never rises above the capacity.
 */
export function adjustLimit(
  present: ConcurrencyLimit,
  view: CapacityView,
  inProgress: number,
  now: Milliseconds,
): ConcurrencyLimit {
  const part = fairPart(view);
  const bounded = (value: number): number =>
    Math.max(part, Math.min(Math.max(part, view.capacity), value));
  if (now - present.adjustedAt < ADJUSTMENT_INTERVAL_MILLISECONDS) {
    return { ...present, limit: bounded(present.limit) };
  }
  return { limit: bounded(adjusted(present.limit, view, inProgress)), adjustedAt: now };
}
