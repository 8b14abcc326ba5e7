import type { UpstreamRegistry } from '@burdockrail/membership/upstreamRegistry.js';
import type {
  DepartureHandover,
  RelayedDeparture,
  UpstreamDeparture,
  UpstreamRecord,
} from '@burdockrail/protocol/protocolDirectory.js';
import { createDepartureHandover } from './departureHandover.js';
import type { OpenedDepartureStore } from './departureStore.js';
import type { GatewayContext } from './gatewayContext.js';
import type { UpstreamRecordFilter } from './upstreamRecordFilter.js';

/** Departures of upstreams at a control process. */
export interface ControlDepartures {
  /**
   * Records that an upstream left by its own request, whether or not it is known here; `startedAt`
   * is the start of its incarnation, `null` if it did not say.
   *
   * @returns whether the departure survives the loss of this process and may be acknowledged.
   */
  recordLeave(id: string, startedAt: number | null): Promise<boolean>;
  /** Records that an upstream drains; returns the same. */
  recordDraining(record: UpstreamRecord): Promise<boolean>;
  /** An upstream is ready; a departure that it announces later is handed over anew. */
  recordReady(id: string): void;
  /** Applies departures that another control process relayed. */
  applyRelayed(departures: readonly RelayedDeparture[], source: string): void;
  /** Applies departures that another control process hands over; resolves once they are on disk. */
  take(handover: DepartureHandover, source: string): Promise<void>;
}

/** Options of {@link createControlDepartures}. */
export interface ControlDeparturesOptions {
  readonly context: GatewayContext;
  /** Internal address of this process. */
  readonly self: string;
  readonly upstreams: UpstreamRegistry;
  readonly store: OpenedDepartureStore;
  readonly recordFilter: UpstreamRecordFilter;
  /** Internal addresses of the processes of which a majority must hold a departure. */
  readonly voters: () => readonly string[];
  /** Called when a departure was applied. */
  readonly onChange: () => void;
  /** Aborted when the process stops. */
  readonly stopped: AbortSignal;
}

/**
 * Creates the departures, with those that were on disk.
 *
 * @remarks
 * A departure applies here at once, also where it cannot be acknowledged: in a data centre that is
 * cut off, the entries stop sending to an upstream that gets no acknowledgement.
 */
export function createControlDepartures(options: ControlDeparturesOptions): ControlDepartures {
  const { context, self, upstreams, store, recordFilter, voters, onChange, stopped } = options;
  const { time, log } = context;
  const handover = createDepartureHandover({
    context,
    self,
    voters,
    store: async () => store.write(),
    stopped,
  });

  const apply = ({ departure, ageMilliseconds }: RelayedDeparture, source: string): boolean => {
    if (!upstreams.applyDeparture(departure, time.now() - ageMilliseconds)) return false;
    onChange();
    const { id, state, startedAt, sequence } = departure;
    log.write('upstreamChanged', { upstream: id, state, startedAt, sequence, source });
    return true;
  };

  const applyUsable = (departures: readonly RelayedDeparture[], source: string): boolean => {
    const usable = recordFilter.usableDepartures(departures, Date.now());
    return usable.filter((relayed) => apply(relayed, source)).length > 0;
  };

  const record = async (departure: UpstreamDeparture): Promise<boolean> => {
    apply({ departure, ageMilliseconds: 0 }, 'upstream');
    // A later departure may be held already.
    const latest = upstreams.departureOf(departure.id) ?? departure;
    return handover.hold(latest);
  };

  applyUsable(store.stored, 'disk');
  store.writeFrom(() => {
    const now = time.now();
    return upstreams.departures.map(({ departure, heardAt }) => ({
      departure,
      ageMilliseconds: Math.max(0, now - heardAt),
    }));
  });

  return {
    recordLeave: async (id, statedStart) => {
      const known = upstreams.get(id)?.record ?? upstreams.departureOf(id);
      // An upstream that states no start and is not known left in any incarnation up to now.
      const startedAt = statedStart ?? known?.startedAt ?? Date.now();
      const sequence = known?.startedAt === startedAt ? known.sequence : 0;
      return record({ id, startedAt, sequence, state: 'gone' });
    },
    recordDraining: async ({ id, startedAt, sequence }) => {
      // A heartbeat that was overtaken by a later one changes nothing.
      if (upstreams.get(id)?.record.state === 'ready') return true;
      const departure: UpstreamDeparture = { id, startedAt, sequence, state: 'draining' };
      // An upstream repeats it with each heartbeat.
      return handover.isHeld(departure) || record(departure);
    },
    recordReady: (id) => {
      handover.forget(id);
    },
    applyRelayed: (departures, source) => {
      // The store logs a refused write; the sender holds the departures as well.
      if (applyUsable(departures, source)) store.write().catch(() => undefined);
    },
    take: async ({ departures }, source) => {
      applyUsable(departures, source);
      await store.write();
    },
  };
}
