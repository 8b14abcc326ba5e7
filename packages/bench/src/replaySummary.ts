import { createLatencyRecorder } from './latencySummary.js';
import type { NoticeCounts } from './replayNotices.js';
import type { ReplayResult } from './replayTypes.js';

/** Results of a replay, from the callers' point of view. */
export interface ReplaySummary {
  readonly name: string;
  readonly requests: number;
  /** Shares of the requests, from 0 to 1. */
  readonly onTime: number;
  readonly late: number;
  readonly refused: number;
  /** Worth of the answers, as a share of the worth if all requests were answered on time. */
  readonly worth: number;
  /** The same, minus the cost of second refusals. */
  readonly net: number;
  /** Time to the first event, in milliseconds. */
  readonly firstP50: number;
  readonly firstP95: number;
  readonly firstP99: number;
  /** Share of the largest tenth of each kind's prompts that was served, from 0 to 1. */
  readonly largestServed: number;
  /** Longest time until an attempt was refused, in milliseconds. */
  readonly longestRefusal: number;
  /** Requests that reached engines that wanted none: totals, but the most for one rest. */
  readonly unwanted: NoticeCounts;
}

/**
 * Cost of a second refusal as a share of the request's worth, since the caller waited twice
 * without getting an answer.
 */
const SECOND_REFUSAL_COST_SHARE = 0.3;

/** Share of each kind's requests that counts as the largest. */
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

/** Summarizes results under a name. */
export function summarizeReplay(
  name: string,
  results: readonly ReplayResult[],
  unwanted: NoticeCounts,
): ReplaySummary {
  const first = createLatencyRecorder();
  let totalWorth = 0;
  let earnedWorth = 0;
  let refusalCost = 0;
  let longestRefusal = 0;
  const counts = { onTime: 0, late: 0, refused: 0 };
  for (const { arrival, outcome, firstMilliseconds, refusals, refusalMilliseconds } of results) {
    counts[outcome] += 1;
    totalWorth += arrival.worth;
    if (outcome === 'onTime') earnedWorth += arrival.worth;
    if (outcome === 'late')
      earnedWorth += (arrival.worth * arrival.kind.lateWorth) / arrival.kind.worth;
    if (outcome === 'refused' && refusals > 1)
      refusalCost += arrival.worth * SECOND_REFUSAL_COST_SHARE;
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
    worth: earnedWorth / Math.max(1, totalWorth),
    net: (earnedWorth - refusalCost) / Math.max(1, totalWorth),
    firstP50: p50,
    firstP95: p95,
    firstP99: p99,
    largestServed: largestServed(results),
    longestRefusal,
    unwanted,
  };
}
