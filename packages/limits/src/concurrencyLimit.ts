import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/** What an entry knows of a service's capacity; load reports lag behind the actual load. */
export interface CapacityView {
  /** Requests that all upstreams of the service together run concurrently without slowing down. */
  readonly capacity: number;
  readonly running: number;
  readonly waiting: number;
  /** Entries among which the capacity is divided. */
  readonly entries: number;
}

/** Concurrency limit of one entry for a service. */
export interface ConcurrencyLimit {
  readonly limit: number;
  readonly adjustedAt: Milliseconds;
}

/** Time between two adjustments: load reports take about this long to reflect the previous one. */
const ADJUSTMENT_INTERVAL_MILLISECONDS = 1_000;

/** Waiting requests, as a share of the capacity, above which the limit decreases. */
const MAXIMUM_WAITING_SHARE = 0.1;

/** Used share of the capacity below which the limit may increase. */
const GROWTH_UTILIZATION_SHARE = 0.8;

/** Factor of a multiplicative decrease. */
const DECREASE_FACTOR = 0.8;

/** Additive increase, as a share of the capacity. */
const INCREASE_SHARE = 0.1;

/** An entry's equal share of the capacity, which it may use regardless of load reports. */
export function fairShare(view: CapacityView): number {
  return Math.max(1, Math.ceil(view.capacity / Math.max(1, view.entries)));
}

/** The limit before any adjustment. */
export function initialLimit(view: CapacityView, now: Milliseconds): ConcurrencyLimit {
  return { limit: fairShare(view), adjustedAt: now };
}

function adjustedLimit(limit: number, view: CapacityView, inProgress: number): number {
  if (view.waiting > view.capacity * MAXIMUM_WAITING_SHARE) return limit * DECREASE_FACTOR;
  const isAtLimit = inProgress >= limit;
  const hasSpareCapacity = view.running + view.waiting < view.capacity * GROWTH_UTILIZATION_SHARE;
  return isAtLimit && hasSpareCapacity
    ? limit + Math.max(1, view.capacity * INCREASE_SHARE)
    : limit;
}

/**
 * Adjusts the limit to the load reports: additive increase while upstreams have spare capacity and
 * this entry is at its limit, multiplicative decrease while requests wait at upstreams.
 *
 * @remarks
 * The limit stays between the entry's equal share and the capacity. The lower bound keeps teams at
 * an idle entry from being starved by teams at a busy one.
 */
export function adjustLimit(
  current: ConcurrencyLimit,
  view: CapacityView,
  inProgress: number,
  now: Milliseconds,
): ConcurrencyLimit {
  const share = fairShare(view);
  const clamp = (value: number): number =>
    Math.max(share, Math.min(Math.max(share, view.capacity), value));
  if (now - current.adjustedAt < ADJUSTMENT_INTERVAL_MILLISECONDS) {
    return { ...current, limit: clamp(current.limit) };
  }
  return { limit: clamp(adjustedLimit(current.limit, view, inProgress)), adjustedAt: now };
}
