import type { System } from '@burdockrail/harness/system.js';

/** Median and 95th percentile, in milliseconds. */
export interface DurationPercentiles {
  readonly median: number;
  readonly p95: number;
}

const P95_SHARE = 0.95;

/** Percentiles of measured durations. */
export function percentilesOf(milliseconds: readonly number[]): DurationPercentiles {
  const sorted = [...milliseconds].sort((left, right) => left - right);
  const valueAt = (share: number): number =>
    sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? Number.NaN;
  return { median: valueAt(0.5), p95: valueAt(P95_SHARE) };
}

/** Formats percentiles for the diagnostics of a test. */
export function formatPercentiles(name: string, percentiles: DurationPercentiles): string {
  return `${name}: median ${percentiles.median.toFixed(1)} ms, p95 ${percentiles.p95.toFixed(1)} ms`;
}

/** Wall-clock time at which a process first had a revision or a later one in force. */
function inForceAt(system: System, machine: string, revision: number): number {
  const event = system.processes.process(machine).events.find(({ name, ...fields }) => {
    return name === 'configurationInForce' && Number(fields.revision) >= revision;
  });
  return event === undefined ? Number.NaN : Date.parse(String(event.time));
}

/** Time from sending a change until its revision was in force in all processes. */
export function millisecondsUntilInForce(system: System, revision: number, sentAt: number): number {
  const { names } = system.processes;
  return Math.max(...names.map((name) => inForceAt(system, name, revision))) - sentAt;
}
