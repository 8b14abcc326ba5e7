import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { UpstreamDeparture } from '@burdockrail/protocol/protocolDirectory.js';
import { compareStandings } from './upstreamOrder.js';

/** Time for which a departure is kept, so that late heartbeats do not restore the upstream. */
export const DEPARTURE_RETENTION_MILLISECONDS = 120_000;

/** Departures kept at most, so that no sender of foreign ids uses up the memory. */
export const MAXIMUM_DEPARTURES = 1_024;

/** A departure and when a control process received it, on this process's clock. */
export interface HeldDeparture {
  readonly departure: UpstreamDeparture;
  readonly heardAt: Milliseconds;
}

/** The latest departure of each upstream, also of those without a record. */
export interface DepartureRegister {
  /** Returns whether the departure was later than the one held for the upstream. */
  apply(departure: UpstreamDeparture, heardAt: Milliseconds): boolean;
  get(id: string): UpstreamDeparture | undefined;
  /** Drops departures after their retention. */
  expire(now: Milliseconds): void;
  /** In the order in which they were applied. */
  readonly held: readonly HeldDeparture[];
}

/** Creates an empty set of departures. */
export function createDepartureRegister(): DepartureRegister {
  const heldById = new Map<string, HeldDeparture>();
  return {
    apply: (departure, heardAt) => {
      const current = heldById.get(departure.id);
      if (current !== undefined && compareStandings(departure, current.departure) <= 0)
        return false;
      heldById.delete(departure.id);
      heldById.set(departure.id, { departure, heardAt });
      const [oldest] = heldById.keys();
      if (heldById.size > MAXIMUM_DEPARTURES && oldest !== undefined) heldById.delete(oldest);
      return true;
    },
    get: (id) => heldById.get(id)?.departure,
    expire: (now) => {
      for (const [id, { heardAt }] of heldById)
        if (now - heardAt > DEPARTURE_RETENTION_MILLISECONDS) heldById.delete(id);
    },
    get held() {
      return [...heldById.values()];
    },
  };
}
