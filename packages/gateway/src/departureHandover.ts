import { setTimeout as pause } from 'node:timers/promises';
import { createRecentMap } from '@burdockrail/common/recentMap.js';
import { MAXIMUM_DEPARTURES } from '@burdockrail/membership/departureRegister.js';
import type { UpstreamDeparture } from '@burdockrail/protocol/protocolDirectory.js';
import { parseAddress } from './controlAddresses.js';
import type { GatewayContext } from './gatewayContext.js';

/**
 * Time in which a majority must hold a departure, in milliseconds: an upstream turns to another
 * control process after a second.
 */
const HANDOVER_TIMEOUT_MILLISECONDS = 700;

/** Delay after a failed call to another control process, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 40;

/** Makes sure that a departure survives this process before it is acknowledged. */
export interface DepartureHandover {
  /**
   * Resolves to true once a majority of the voters has the departure on disk, and to false if that
   * takes too long.
   */
  hold(departure: UpstreamDeparture): Promise<boolean>;
  /** True if a majority has a departure of the same incarnation that says as much. */
  isHeld(departure: UpstreamDeparture): boolean;
  /** Forgets that the departure of an upstream was acknowledged, because it is ready again. */
  forget(id: string): void;
}

/** Options of {@link createDepartureHandover}. */
export interface DepartureHandoverOptions {
  readonly context: Pick<GatewayContext, 'client' | 'time' | 'log'>;
  /** Internal address of this process. */
  readonly self: string;
  /** Internal addresses of the processes of which a majority must hold a departure. */
  readonly voters: () => readonly string[];
  /** Resolves once all departures that this process holds are on its disk. */
  readonly store: () => Promise<void>;
  /** Aborted when the process stops. */
  readonly stopped: AbortSignal;
}

/** Resolves to true once so many tries have succeeded, and to false after the signal. */
async function areFulfilled(
  tries: readonly Promise<void>[],
  count: number,
  signal: AbortSignal,
): Promise<boolean> {
  return new Promise((resolve) => {
    let fulfilled = 0;
    const giveUp = (): void => {
      resolve(false);
    };
    const countFulfilled = (): void => {
      fulfilled += 1;
      if (fulfilled >= count) resolve(true);
    };
    signal.addEventListener('abort', giveUp, { once: true });
    // A try rejects only after the signal.
    for (const attempt of tries) attempt.then(countFulfilled, giveUp);
  });
}

/**
 * Creates the handover.
 *
 * @remarks
 * A majority of the voters survives every loss that the group survives. The departure is handed over
 * without the group's log: it needs no order among others, and the others act on it at once, while a
 * follower would act on an entry only when a leader has told it that the entry is committed.
 */
export function createDepartureHandover(options: DepartureHandoverOptions): DepartureHandover {
  const { context, self, voters, store, stopped } = options;
  const { client, time, log } = context;
  const heldById = createRecentMap<UpstreamDeparture>(MAXIMUM_DEPARTURES);

  const isHeld = ({ id, startedAt, state }: UpstreamDeparture): boolean => {
    const held = heldById.get(id);
    return held?.startedAt === startedAt && (held.state === 'gone' || held.state === state);
  };

  /** Resolves once a process has the departure on disk; rejects after the signal. */
  const storeAt = async (
    address: string,
    departure: UpstreamDeparture,
    signal: AbortSignal,
    failures: Map<string, string>,
  ): Promise<void> => {
    const receivedAt = time.now();
    for (;;) {
      try {
        if (address === self) await store();
        else {
          const ageMilliseconds = Math.max(0, time.now() - receivedAt);
          const handover = { departures: [{ departure, ageMilliseconds }] };
          const timeoutMilliseconds = HANDOVER_TIMEOUT_MILLISECONDS;
          await client
            .connectionTo(parseAddress(address))
            .call('directory.depart', handover, { timeoutMilliseconds, signal });
        }
        failures.delete(address);
        return;
      } catch (error) {
        failures.set(address, String(error));
        await pause(RETRY_DELAY_MILLISECONDS, null, { signal });
      }
    }
  };

  const handOver = async (departure: UpstreamDeparture): Promise<boolean> => {
    const holders = [...new Set([self, ...voters()])];
    const signal = AbortSignal.any([stopped, AbortSignal.timeout(HANDOVER_TIMEOUT_MILLISECONDS)]);
    const failures = new Map<string, string>();
    const tries = holders.map(async (address) => storeAt(address, departure, signal, failures));
    const majority = Math.floor(holders.length / 2) + 1;
    const isAcknowledged = await areFulfilled(tries, majority, signal);
    const { id, state, startedAt } = departure;
    log.write('departureTaken', {
      upstream: id,
      startedAt,
      state,
      outcome: isAcknowledged ? 'acknowledged' : 'not held by a majority',
      voters: holders.length,
      reason: [...failures].map(([address, reason]) => `${address}: ${reason}`).join(', '),
    });
    return isAcknowledged;
  };

  return {
    isHeld,
    hold: async (departure) => {
      if (isHeld(departure)) return true;
      const isAcknowledged = await handOver(departure);
      if (isAcknowledged) heldById.set(departure.id, departure);
      return isAcknowledged;
    },
    forget: (id) => {
      heldById.delete(id);
    },
  };
}
