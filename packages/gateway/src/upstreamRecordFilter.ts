import { createRecentMap } from '@burdockrail/common/recentMap.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import {
  departureIssue,
  upstreamRecordIssue,
} from '@burdockrail/membership/upstreamRecordCheck.js';
import type {
  RelayedDeparture,
  RelayedUpstreamRecord,
} from '@burdockrail/protocol/protocolDirectory.js';
import type { EventLog } from '@burdockrail/telemetry/eventLog.js';

/** Number of odd records that are logged once each while they are relayed again and again. */
const MAXIMUM_LOGGED_RECORDS = 256;

/** Longest part of an odd id that is logged, in characters. */
const MAXIMUM_LOGGED_CHARACTERS = 64;

/** Leaves out relayed records that name no upstream to use. */
export interface UpstreamRecordFilter {
  /** Returns the usable records; `wallTime` is Unix time in milliseconds. */
  usable(
    records: readonly RelayedUpstreamRecord[],
    wallTime: Milliseconds,
  ): readonly RelayedUpstreamRecord[];
  /** Returns the usable departures; `wallTime` is Unix time in milliseconds. */
  usableDepartures(
    departures: readonly RelayedDeparture[],
    wallTime: Milliseconds,
  ): readonly RelayedDeparture[];
}

/** Formats the id of an odd record, which may be of any type and length, for the log. */
export function describeOddId(id: unknown): string {
  return (typeof id === 'string' ? id : typeof id).slice(0, MAXIMUM_LOGGED_CHARACTERS);
}

function relayIssue(
  { ageMilliseconds }: { readonly ageMilliseconds: number },
  issue: string | null,
): string | null {
  return Number.isFinite(ageMilliseconds) ? issue : 'ageMilliseconds: out of range';
}

/**
 * Creates a filter.
 *
 * @remarks
 * Control processes refuse odd heartbeats, but one of another release may have accepted one.
 */
export function createUpstreamRecordFilter(log: EventLog): UpstreamRecordFilter {
  const logged = createRecentMap<true>(MAXIMUM_LOGGED_RECORDS);
  const isUsable = (named: { readonly id?: unknown } | null, reason: string | null): boolean => {
    if (reason === null) return true;
    const upstream = describeOddId(named?.id);
    const key = `${upstream} ${reason}`;
    if (!logged.has(key)) log.write('upstreamRecordIgnored', { upstream, reason });
    logged.set(key, true);
    return false;
  };
  return {
    usable: (records, wallTime) =>
      records.filter((relayed) =>
        isUsable(
          relayed.record,
          relayIssue(relayed, upstreamRecordIssue(relayed.record, wallTime)),
        ),
      ),
    usableDepartures: (departures, wallTime) =>
      departures.filter((relayed) =>
        isUsable(
          relayed.departure,
          relayIssue(relayed, departureIssue(relayed.departure, wallTime)),
        ),
      ),
  };
}
