import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/** How long the latest requests of each route lasted. */
export interface RequestDurations {
  record(route: string, durationMilliseconds: Milliseconds): void;
  /** Time within which a fraction of them ended, in milliseconds; `null` if none is known. */
  withinMilliseconds(route: string, fraction: number): Milliseconds | null;
}

/** Durations that are kept of each route. */
const KEPT_DURATIONS = 50;

/** Creates the durations without any request. */
export function createRequestDurations(): RequestDurations {
  const durations = new Map<string, { readonly kept: Milliseconds[]; recorded: number }>();
  return {
    record: (route, durationMilliseconds) => {
      const known = durations.get(route) ?? { kept: [], recorded: 0 };
      known.kept[known.recorded % KEPT_DURATIONS] = durationMilliseconds;
      known.recorded += 1;
      durations.set(route, known);
    },
    withinMilliseconds: (route, fraction) => {
      const sorted = durations.get(route)?.kept.toSorted((left, right) => left - right) ?? [];
      return sorted[Math.ceil(sorted.length * fraction) - 1] ?? null;
    },
  };
}
