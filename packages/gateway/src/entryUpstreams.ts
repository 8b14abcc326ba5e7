import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { DirectoryEntry } from '@burdockrail/membership/directoryView.js';
import type { UpstreamCandidate } from '@burdockrail/routing/upstreamChoice.js';
import {
  createUpstreamHealthTracker,
  type AttemptVerdict,
} from '@burdockrail/routing/upstreamHealthTracker.js';
import type { ClusterView } from './clusterView.js';
import type { UpstreamDepartures } from './upstreamDepartures.js';

interface LoadSample {
  readonly requests: number;
  readonly reportedAt: Milliseconds;
}

/** Request counts, reported loads and failure history of upstreams, from this entry's requests. */
export interface EntryUpstreams {
  /** Upstreams of a service that are ready and did not say in an answer that they leave. */
  candidates(service: string, now: Milliseconds): readonly UpstreamCandidate[];
  requestStarted(id: string): void;
  requestEnded(id: string): void;
  ownRequests(id: string): number;
  recordVerdict(id: string, verdict: AttemptVerdict, now: Milliseconds): void;
  isSuspended(id: string, now: Milliseconds): boolean;
  isFailing(id: string, now: Milliseconds): boolean;
  /** Weighted share of the latest attempts that failed, from 0 to 1; it fades with time. */
  failureRate(id: string, now: Milliseconds): number;
  recordLoad(id: string, requests: number, now: Milliseconds): void;
  /** Discards the state of upstreams that are no longer in the directory. */
  retain(): void;
}

/** Creates the state of an entry that has sent no request yet. */
export function createEntryUpstreams(
  clusterView: ClusterView,
  departures: UpstreamDepartures,
): EntryUpstreams {
  const healthTracker = createUpstreamHealthTracker();
  const ownRequestCounts = new Map<string, number>();
  const reportedLoads = new Map<string, LoadSample>();

  const candidate = ({ record, silent }: DirectoryEntry, now: Milliseconds): UpstreamCandidate => {
    const load = reportedLoads.get(record.id);
    return {
      id: record.id,
      dataCentre: record.dataCentre,
      slots: record.slots,
      ownRequests: ownRequestCounts.get(record.id) ?? 0,
      reportedRequests: load?.requests ?? null,
      reportAgeMilliseconds: load === undefined ? 0 : now - load.reportedAt,
      suspended: healthTracker.isSuspended(record.id, now),
      silent,
      failureRate: healthTracker.failureRate(record.id, now),
    };
  };

  return {
    candidates: (service, now) =>
      clusterView.directory
        .ready(service)
        .filter(({ record }) => !departures.isLeaving(record))
        .map((entry) => candidate(entry, now)),
    requestStarted: (id) => {
      ownRequestCounts.set(id, (ownRequestCounts.get(id) ?? 0) + 1);
    },
    requestEnded: (id) => {
      const remaining = (ownRequestCounts.get(id) ?? 1) - 1;
      if (remaining > 0) ownRequestCounts.set(id, remaining);
      else ownRequestCounts.delete(id);
    },
    ownRequests: (id) => ownRequestCounts.get(id) ?? 0,
    recordVerdict: (id, verdict, now) => {
      healthTracker.recordAttempt(id, verdict, now);
    },
    isSuspended: (id, now) => healthTracker.isSuspended(id, now),
    isFailing: (id, now) => healthTracker.isFailing(id, now),
    failureRate: (id, now) => healthTracker.failureRate(id, now),
    recordLoad: (id, requests, now) => {
      reportedLoads.set(id, { requests, reportedAt: now });
    },
    retain: () => {
      const ids = new Set(clusterView.directory.entries.map(({ record }) => record.id));
      healthTracker.retain(ids);
      for (const id of reportedLoads.keys()) if (!ids.has(id)) reportedLoads.delete(id);
    },
  };
}
