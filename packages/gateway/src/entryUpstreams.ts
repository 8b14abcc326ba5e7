import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { DirectoryEntry } from '@burdockrail/membership/directoryView.js';
import type { UpstreamCandidate } from '@burdockrail/routing/upstreamChoice.js';
import {
  createUpstreamHealthTracker,
  type AttemptVerdict,
} from '@burdockrail/routing/upstreamHealthTracker.js';
import type { Beliefs } from './entryBeliefs.js';

interface LoadSample {
  readonly requests: number;
  readonly at: Milliseconds;
}

/** What an entry knows of upstreams from its own requests. */
export interface EntryUpstreams {
  candidates(service: string, now: Milliseconds): readonly UpstreamCandidate[];
  began(id: string): void;
  ended(id: string): void;
  ownRequests(id: string): number;
  note(id: string, verdict: AttemptVerdict, now: Milliseconds): void;
  isSuspended(id: string, now: Milliseconds): boolean;
  reported(id: string, requests: number, now: Milliseconds): void;
  /** Forgets upstreams that have ended. */
  retain(): void;
}

/** Creates the knowledge of an entry that has sent nothing yet. */
export function createEntryUpstreams(beliefs: Beliefs): EntryUpstreams {
  const standings = createUpstreamHealthTracker();
  const own = new Map<string, number>();
  const loads = new Map<string, LoadSample>();

  const candidate = ({ record, silent }: DirectoryEntry, now: Milliseconds): UpstreamCandidate => {
    const load = loads.get(record.id);
    return {
      id: record.id,
      dataCentre: record.dataCentre,
      slots: record.slots,
      ownRequests: own.get(record.id) ?? 0,
      reportedRequests: load?.requests ?? null,
      reportAgeMilliseconds: load === undefined ? 0 : now - load.at,
      suspended: standings.isSuspended(record.id, now),
      silent,
      failureRate: standings.failureRate(record.id),
    };
  };

  return {
    candidates: (service, now) =>
      beliefs.directory.ready(service).map((entry) => candidate(entry, now)),
    began: (id) => {
      own.set(id, (own.get(id) ?? 0) + 1);
    },
    ended: (id) => {
      const left = (own.get(id) ?? 1) - 1;
      if (left > 0) own.set(id, left);
      else own.delete(id);
    },
    ownRequests: (id) => own.get(id) ?? 0,
    note: (id, verdict, now) => {
      standings.recordAttempt(id, verdict, now);
    },
    isSuspended: (id, now) => standings.isSuspended(id, now),
    reported: (id, requests, now) => {
      loads.set(id, { requests, at: now });
    },
    retain: () => {
      const ids = new Set(beliefs.directory.entries.map(({ record }) => record.id));
      standings.retain(ids);
      for (const id of loads.keys()) if (!ids.has(id)) loads.delete(id);
    },
  };
}
