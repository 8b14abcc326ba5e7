import { createByteBudget } from '@burdockrail/common/byteBudget.js';
import type { SharedRetryBudget } from '@burdockrail/limits/sharedRetryBudget.js';
import type { RouteConfiguration } from '@burdockrail/routing/routeConfiguration.js';
import { createRouteTable } from '@burdockrail/routing/routeTable.js';
import type { UpstreamCandidate } from '@burdockrail/routing/upstreamChoice.js';
import type { EntryContext } from '../src/entryContext.js';
import type { EntrySlots, GrantedSlot } from '../src/entrySlots.js';
import { createUpstreamRests } from '../src/upstreamRests.js';
import type { StreamObserver } from '../src/streamAttempt.js';
import { createMachineShares } from '../src/machineShares.js';

const MILLISECONDS_PER_SECOND = 1_000;

const MAXIMUM_ANSWER_MEMORY_BYTES = 16 * 1024 * 1024;

const pathPrefixes = { once: '/once/', repeatable: '/plain/', stream: '/' } as const;

/**
 * Open routes: plain requests below `/plain/` and, those that may not be repeated, below `/once/`;
 * resumable streams elsewhere.
 */
const configuration: RouteConfiguration = {
  version: 1,
  routes: (['stream', 'repeatable', 'once'] as const).map((kind) => {
    return {
      name: kind,
      host: 'a.example',
      pathPrefix: pathPrefixes[kind],
      kind,
      timeoutMilliseconds: 10_000,
      objectiveMilliseconds: 500,
      pauseMilliseconds: 5_000,
      priority: 1,
      services: [{ service: 's', weight: 1 }],
      attempts: 3,
      open: true,
      resumable: true,
    };
  }),
  services: [{ name: 's', maximumConnections: 100, engine: null, origin: null }],
  teams: [],
  limits: {
    headerBytes: 16_384,
    bodyBytes: 65_536,
    headerTimeoutMilliseconds: 3_000,
    idleTimeoutMilliseconds: 15_000,
  },
};

const plainCandidate: UpstreamCandidate = {
  id: 'u',
  dataCentre: 'north',
  slots: 1,
  ownRequests: 0,
  reportedRequests: null,
  reportAgeMilliseconds: 0,
  suspended: false,
  silent: false,
  failureRate: 0,
};

/** A budget that gives each retry, or not, as a function says. */
export function createRetryBudget(trySpend: () => boolean): SharedRetryBudget {
  return {
    services: [],
    usage: () => ({ requests: 0, spent: 0, allowed: 0, slackPart: 0 }),
    recordShares: () => undefined,
    recordRequest: () => undefined,
    trySpend,
  };
}

/**
 * Everything of an entry but its connections, without faults or limits; plain requests go to
 * `plainAddress`.
 */
export function createEntryContext(
  connections: EntryContext['connections'],
  plainAddress: string,
  changes: Partial<EntryContext> = {},
): EntryContext {
  const ignore = (): void => undefined;
  const clusterView = {
    weightsOf: () => [],
    table: createRouteTable(configuration),
    entries: 1,
    confirmedAt: performance.now(),
    directory: { get: () => ({ record: { id: 'u', address: plainAddress, startedAt: 1 } }) },
    ...changes.clusterView,
  };
  const log = { write: ignore };
  return {
    connections,
    shares: createMachineShares(
      { memoryMegabytes: 272, descriptors: 2_069 },
      { now: () => performance.now() },
    ),
    answerMemory: createByteBudget(MAXIMUM_ANSWER_MEMORY_BYTES),
    time: { now: () => performance.now() },
    random: { next: () => 0 },
    log,
    metrics: { count: ignore, histogram: () => ({ record: ignore }) },
    settings: { bounds: { versionMilliseconds: 8_000, revocationMilliseconds: 60_000 } },
    clusterView,
    retryBudget: createRetryBudget(() => true),
    callerElapsed: { estimateElapsedMilliseconds: () => 0 },
    upstreams: {
      recordLoad: ignore,
      recordVerdict: ignore,
      requestStarted: ignore,
      requestEnded: ignore,
      candidates: () => [plainCandidate],
    },
    limits: { recordAnswer: ignore, take: () => 0 },
    departures: {
      recordAnswer: ignore,
      isLeaving: () => false,
      whenLeaving: () => ignore,
      directoryChanged: ignore,
    },
    rests: createUpstreamRests({ log }, clusterView as unknown as EntryContext['clusterView']),
    quarantine: {
      statusOf: () => ({ kind: 'clear' }),
      mayRetry: () => true,
      recordConnectionLoss: ignore,
      recordCompletion: ignore,
    },
    dialect: {
      ownHeaders: new Set(),
      attemptHeaders: () => [],
      lastEventIdHeader: 'last-event-id',
      errorBody: (code: number, text: string) => `${code} ${text}`,
      readCaller: (headers: Readonly<Record<string, unknown>>) => ({
        requestId: headers['x-request'] ?? null,
        deadlineMilliseconds: null,
        key: null,
        model: 'm',
        promptTokens: 1,
        answerTokens: 1,
        sharedParts: [],
        answerEstimate: null,
      }),
      readAnswer: (headers: Readonly<Record<string, unknown>>) => ({
        requestId: headers['x-request'] ?? null,
        signed: headers['x-signed'] === 'yes',
        notRun: headers['x-not-run'] !== undefined,
        load: null,
        requestsPerSecond: null,
        leaving: headers['x-leaving'] === '1',
        retryAfterMilliseconds:
          headers['retry-after'] === undefined
            ? null
            : Number(headers['retry-after']) * MILLISECONDS_PER_SECOND,
      }),
    },
    ...changes,
  } as unknown as EntryContext;
}

/** Takes everything that a stream reports. */
export const ignoringObserver: StreamObserver = {
  head: () => undefined,
  event: () => undefined,
  flush: () => true,
  onDrain: () => undefined,
  silent: () => undefined,
};

/** A granted slot of an engine at a port of this machine. */
export function createSlot(
  engine: string,
  port: number,
  release: () => void = () => undefined,
): GrantedSlot {
  return {
    engine,
    address: `127.0.0.1:${port}`,
    startedAt: 1,
    version: 1,
    reportLimit: () => undefined,
    reportRest: () => undefined,
    release,
  };
}

/** Slots of an engine at a port of this machine, granted at once; counts claims and releases. */
export function createOpenSlots(port: number): EntrySlots & {
  readonly claimed: number;
  readonly released: number;
} {
  let claimed = 0;
  let released = 0;
  return {
    get claimed() {
      return claimed;
    },
    get released() {
      return released;
    },
    claim: async () => {
      claimed += 1;
      const slot = createSlot(`engine-${claimed}`, port, () => {
        released += 1;
      });
      return Promise.resolve({ kind: 'granted', slot });
    },
  };
}
