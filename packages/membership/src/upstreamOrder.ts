import type { UpstreamDeparture, UpstreamRecord } from '@burdockrail/protocol/protocolDirectory.js';

/** The part of a heartbeat or departure that decides which of two is the later one. */
export type UpstreamStanding = Pick<UpstreamRecord, 'startedAt' | 'state' | 'sequence'>;

/**
 * Compares what one upstream said of itself, in heartbeats or departures.
 *
 * @remarks
 * The later incarnation wins, and within an incarnation its end, then the higher sequence.
 *
 * @returns a positive number if `next` is later than `current`, 0 if neither is.
 */
export function compareStandings(next: UpstreamStanding, current: UpstreamStanding): number {
  if (next.startedAt !== current.startedAt) return next.startedAt - current.startedAt;
  if (next.state === 'gone' && current.state === 'gone') return 0;
  if (next.state === 'gone') return 1;
  if (current.state === 'gone') return -1;
  return next.sequence - current.sequence;
}

/** Returns the record in the state that a departure leaves it in, unless the record is later. */
export function departedRecord(
  record: UpstreamRecord,
  departure: UpstreamDeparture | undefined,
): UpstreamRecord {
  const applies = departure !== undefined && compareStandings(departure, record) >= 0;
  if (!applies || departure.state === record.state) return record;
  return { ...record, state: departure.state };
}
