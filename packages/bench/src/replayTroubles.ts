import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { ReplayFleet, ReplayNotice } from './replayTypes.js';
import type { SimulatedEngine } from './simulatedEngine.js';
import type { VirtualClock } from './virtualClock.js';

/** Schedules what happens to the engines of a fleet: loads, limits, rests and silences. */
export function scheduleTroubles(
  fleet: ReplayFleet,
  engines: readonly SimulatedEngine[],
  clock: VirtualClock,
): void {
  fleet.loadsAtSeconds.forEach((second, index) => {
    engines[index]?.loadWeightsAt(second * 1_000);
  });
  for (const { engine, requestsPerSecond, fromSecond } of fleet.limits ?? []) {
    clock.schedule(fromSecond * 1_000, () => {
      engines[engine]?.setLimit(requestsPerSecond);
    });
  }
  for (const { engine, fromSecond, untilSecond, restMilliseconds } of fleet.rests ?? []) {
    clock.schedule(fromSecond * 1_000, () => engines[engine]?.setRest(restMilliseconds));
    clock.schedule(untilSecond * 1_000, () => engines[engine]?.setRest(null));
  }
  for (const { engine, atSecond, milliseconds } of fleet.silences ?? [])
    clock.schedule(atSecond * 1_000, () => engines[engine]?.fallSilent(milliseconds));
}

/** What an engine says of itself in an answer that begins now; `null` if it does not leave. */
export function departureNotice(
  fleet: ReplayFleet,
  engine: string,
  now: Milliseconds,
): Omit<ReplayNotice, 'entry'> | null {
  const departure = fleet.departures?.find((each) => String(each.engine) === engine);
  return departure === undefined || now < departure.fromSecond * 1_000
    ? null
    : { kind: 'leaves', engine, at: now, until: Number.POSITIVE_INFINITY };
}
