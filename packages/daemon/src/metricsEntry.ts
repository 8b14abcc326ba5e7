import { resultName, type ResultCode } from '@burdockrail/common/resultCode.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import {
  createRequestHistograms,
  type RequestHistograms,
} from '@burdockrail/telemetry/requestHistograms.js';
import { metricsText, type MetricFamily } from '@burdockrail/telemetry/metricsText.js';
import type { AttemptOutcome } from './requestAttempt.js';

/** Measurements of one finished request. */
export interface FinishedRequest {
  readonly team: string;
  readonly service: string;
  readonly code: ResultCode;
  readonly latency: Milliseconds;
  readonly timeToFirstByte?: Milliseconds;
}

/** Counters and histograms of one entry. */
export interface EntryMetrics {
  recordAttempt(service: string, outcome: AttemptOutcome['kind']): void;
  recordRequest(finished: FinishedRequest): void;
  /** Records the time between two parts of a streamed answer. */
  recordPartGap(team: string, service: string, gap: Milliseconds): void;
  /** Counts an event at the server for callers. */
  countClientEvent(name: string, labels?: Readonly<Record<string, string>>): void;
  /** All metrics in the text exposition format. */
  formatMetrics(): string;
}

interface Counter {
  readonly labels: Readonly<Record<string, string>>;
  value: number;
}

function createCounterSet(): {
  readonly add: (labels: Readonly<Record<string, string>>) => void;
  readonly all: () => readonly Counter[];
} {
  const counters = new Map<string, Counter>();
  return {
    add: (labels) => {
      const key = JSON.stringify(labels);
      const counter = counters.get(key) ?? { labels, value: 0 };
      counter.value += 1;
      counters.set(key, counter);
    },
    all: () => [...counters.values()],
  };
}

function counterFamily(name: string, help: string, counters: readonly Counter[]): MetricFamily {
  const samples = counters.map(({ labels, value }) => ({ name, labels, value }));
  return { name, help, type: 'counter', samples };
}

/** Creates metrics that start at zero. */
export function createEntryMetrics(): EntryMetrics {
  const requests = createCounterSet();
  const attempts = createCounterSet();
  const clientEvents = new Map<string, ReturnType<typeof createCounterSet>>();
  const latency = createRequestHistograms('burdockrail_request_seconds');
  const firstByte = createRequestHistograms('burdockrail_first_byte_seconds');
  const partGaps = createRequestHistograms('burdockrail_between_parts_seconds');
  const metricFamilies = (): readonly MetricFamily[] => [
    counterFamily('burdockrail_requests_total', 'Requests by result.', requests.all()),
    counterFamily('burdockrail_attempts_total', 'Attempts at upstreams.', attempts.all()),
    ...[...clientEvents].map(([name, counters]) =>
      counterFamily(name, 'Events at the server for callers.', counters.all()),
    ),
    ...[latency, firstByte, partGaps].map((histograms: RequestHistograms) => histograms.family()),
  ];
  return {
    recordAttempt: (service, outcome) => {
      attempts.add({ service, outcome });
    },
    recordRequest: ({ team, service, code, ...times }) => {
      requests.add({ team, service, code: String(code), result: resultName(code) });
      latency.record({ team, class: service }, times.latency);
      if (times.timeToFirstByte !== undefined) {
        firstByte.record({ team, class: service }, times.timeToFirstByte);
      }
    },
    recordPartGap: (team, service, gap) => {
      partGaps.record({ team, class: service }, gap);
    },
    countClientEvent: (name, labels = {}) => {
      const counters = clientEvents.get(name) ?? createCounterSet();
      clientEvents.set(name, counters);
      counters.add(labels);
    },
    formatMetrics: () => metricsText(metricFamilies()),
  };
}
