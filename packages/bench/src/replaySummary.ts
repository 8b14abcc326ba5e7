import { createLatencyRecorder } from './latencySummary.js';
import type { ReplayResult } from './replayFleet.js';

/** What callers got in a replay. */
export interface ReplaySummary {
  readonly name: string;
  readonly requests: number;
  /** Shares of the requests, from 0 to 1. */
  readonly onTime: number;
  readonly late: number;
  readonly refused: number;
  /** Worth of the answers as a share of what all in time would be worth. */
  readonly worth: number;
  /** The same less what a second refusal costs a caller. */
  readonly net: number;
  /** Time to the first event, in milliseconds. */
  readonly firstP50: number;
  readonly firstP95: number;
  readonly firstP99: number;
  /** Share of the largest tenth of each kind's prompts that was served, from 0 to 1. */
  readonly largestServed: number;
  /** Longest time for which a caller waited for a refusal, in milliseconds. */
  readonly longestRefusal: number;
}

/** Part of a request's worth that a second refusal costs: the caller waited twice for nothing. */
const REFUSED_AGAIN_COST = 0.3;

/** Part of the requests that count as the largest. */
const LARGEST_SHARE = 0.1;

function isServed({ outcome }: ReplayResult): boolean {
  return outcome === 'onTime' || outcome === 'late';
}

function largestServed(results: readonly ReplayResult[]): number {
  const kinds = new Set(results.map(({ arrival }) => arrival.kind.name));
  const largest = [...kinds].flatMap((kind) => {
    const ordered = results
      .filter(({ arrival }) => arrival.kind.name === kind)
      .sort((left, right) => right.arrival.promptTokens - left.arrival.promptTokens);
    return ordered.slice(0, Math.ceil(ordered.length * LARGEST_SHARE));
  });
  return largest.filter(isServed).length / Math.max(1, largest.length);
}

/** Sums up results under a name. */
export function summarizeReplay(name: string, results: readonly ReplayResult[]): ReplaySummary {
  const first = createLatencyRecorder();
  let owed = 0;
  let earned = 0;
  let lost = 0;
  let longestRefusal = 0;
  const counts = { onTime: 0, late: 0, refused: 0 };
  for (const { arrival, outcome, firstMilliseconds, refusals, refusalMilliseconds } of results) {
    counts[outcome] += 1;
    owed += arrival.worth;
    if (outcome === 'onTime') earned += arrival.worth;
    if (outcome === 'late') earned += (arrival.worth * arrival.kind.lateWorth) / arrival.kind.worth;
    if (outcome === 'refused' && refusals > 1) lost += arrival.worth * REFUSED_AGAIN_COST;
    if (firstMilliseconds !== null) first.record(firstMilliseconds);
    longestRefusal = Math.max(longestRefusal, refusalMilliseconds);
  }
  const share = (count: number): number => count / Math.max(1, results.length);
  const { p50, p95, p99 } = first.summary();
  return {
    name,
    requests: results.length,
    onTime: share(counts.onTime),
    late: share(counts.late),
    refused: share(counts.refused),
    worth: earned / Math.max(1, owed),
    net: (earned - lost) / Math.max(1, owed),
    firstP50: p50,
    firstP95: p95,
    firstP99: p99,
    largestServed: largestServed(results),
    longestRefusal,
  };
}
