import {
  createQuarantineState,
  type CrashReport,
  type QuarantineState,
  type RequestTraits,
} from '@burdockrail/limits/quarantineState.js';
import type { StreamArrival } from './replayTraffic.js';

/** Time for which an engine is down after a crash, until it has loaded its weights again. */
export const CRASH_MILLISECONDS = 2_500;

/** Time until all entries have learnt of a crash, in milliseconds. */
export const FINDING_MILLISECONDS = 700;

/** Attempts of an entry at engines that crash. */
export const CRASH_ATTEMPTS = 2;

/** Equal requests that must crash upstreams to be quarantined; the same as the entry's. */
const CRASHES_TO_QUARANTINE = 3;

/** Prompt parts of all requests, and of those that crash engines. */
const COMMON_PART = 'common';
const CRASHING_PART = 'crashing';

/** Creates the quarantine of one entry. */
export function createReplayQuarantine(): QuarantineState {
  return createQuarantineState(CRASHES_TO_QUARANTINE);
}

/** Traits of a request; no two requests are equal. */
export function traitsOf({ at, isCrashing }: StreamArrival): RequestTraits {
  const parts = isCrashing ? [COMMON_PART, CRASHING_PART] : [COMMON_PART];
  return { content: String(at), parts };
}

/** Report of an entry on a request that was interrupted by the crash of its engine. */
export function crashReport(
  arrival: StreamArrival,
  engine: string,
  hadEvents: boolean,
  now: number,
): CrashReport {
  const { content, parts } = traitsOf(arrival);
  // A request that had begun to be answered is not what its engine crashed of.
  return { content, parts: hadEvents ? [] : parts, agent: `${engine} ${now}`, granted: false };
}
