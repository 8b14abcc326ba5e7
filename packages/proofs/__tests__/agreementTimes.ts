import type { System } from '@burdockrail/harness/system.js';

/** Median and 95th percentile, in milliseconds. */
export interface Spread {
  readonly median: number;
  readonly high: number;
}

const HIGH_SHARE = 0.95;

/** Spread of measured times. */
export function spreadOf(milliseconds: readonly number[]): Spread {
  const sorted = [...milliseconds].sort((left, right) => left - right);
  const at = (share: number): number =>
    sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? Number.NaN;
  return { median: at(0.5), high: at(HIGH_SHARE) };
}

/** Text of a spread for the output of a test. */
export function spreadText(name: string, spread: Spread): string {
  return `${name}: median ${spread.median.toFixed(1)} ms, p95 ${spread.high.toFixed(1)} ms`;
}

/** Time of day at which a process had a revision or a later one in force. */
function inForceAt(system: System, machine: string, revision: number): number {
  const event = system.processes.process(machine).events.find(({ name, ...fields }) => {
    return name === 'configurationInForce' && Number(fields.revision) >= revision;
  });
  return event === undefined ? Number.NaN : Date.parse(String(event.time));
}

/** Time from sending an order until the last process had its revision in force. */
export function timeUntilInForce(system: System, revision: number, sentAt: number): number {
  const { names } = system.processes;
  return Math.max(...names.map((name) => inForceAt(system, name, revision))) - sentAt;
}
