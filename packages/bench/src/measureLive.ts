import type { System } from '@burdockrail/harness/system.js';
import { createLatencyRecorder, type LatencySummary } from './latencySummary.js';
import { measureNames } from './measureLayout.js';
import { sendProbe } from './modelProbe.js';
import { startOpenLoop } from './openLoopLoad.js';

const ANSWER_TOKENS = 16;

/** Results of the live requests sent in one period. */
export interface LiveResult {
  readonly firstByte: LatencySummary;
  readonly total: LatencySummary;
  readonly failed: number;
  /** Answers that did not come from a single published version. */
  readonly mixed: number;
  /** Failures by result code. */
  readonly failuresByCode: Readonly<Record<string, number>>;
}

/** A running load whose results are collected per period. */
export interface LiveLoad extends AsyncDisposable {
  /** Ends the current period and starts the next; a request counts in the period it was sent in. */
  nextPeriod(): Promise<LiveResult>;
}

interface Period {
  readonly firstByte: ReturnType<typeof createLatencyRecorder>;
  readonly total: ReturnType<typeof createLatencyRecorder>;
  readonly failuresByCode: Record<string, number>;
  readonly inFlight: Set<Promise<void>>;
  failed: number;
  mixed: number;
}

function createPeriod(): Period {
  return {
    firstByte: createLatencyRecorder(),
    total: createLatencyRecorder(),
    failuresByCode: {},
    inFlight: new Set(),
    failed: 0,
    mixed: 0,
  };
}

/** Starts live model requests through all entries; half of them are streamed. */
export function startLiveLoad(
  system: System,
  requestsPerSecond: number,
  seed: number,
  published: ReadonlySet<string>,
): LiveLoad {
  const { model, team } = measureNames;
  const entries = system.machinesWithRole('entry').map(({ name }) => system.entryUrl(name));
  const stop = new AbortController();
  let period = createPeriod();

  const probe = async (number: number, entry: string, sentPeriod: Period): Promise<void> => {
    const prompt = `Question ${number} of a guest.`;
    const stream = number % 2 === 0;
    const request = { entry, service: model, team, prompt, tokens: ANSWER_TOKENS, stream };
    const result = await sendProbe(system, request, published);
    if (result.mixed) sentPeriod.mixed += 1;
    if (result.correct) {
      sentPeriod.firstByte.record(result.firstByteMilliseconds);
      sentPeriod.total.record(result.totalMilliseconds);
      return;
    }
    sentPeriod.failed += 1;
    const code = String(result.code);
    sentPeriod.failuresByCode[code] = (sentPeriod.failuresByCode[code] ?? 0) + 1;
  };

  const load = startOpenLoop({
    requestsPerSecond,
    seed,
    stop: stop.signal,
    send: async (number, random) => {
      const entry = entries[random.nextInteger(entries.length)] ?? '';
      const sentPeriod = period;
      const request = probe(number, entry, sentPeriod);
      sentPeriod.inFlight.add(request);
      await request;
      sentPeriod.inFlight.delete(request);
    },
  });

  return {
    nextPeriod: async () => {
      const ended = period;
      period = createPeriod();
      await Promise.all(ended.inFlight);
      return {
        firstByte: ended.firstByte.summary(),
        total: ended.total.summary(),
        failed: ended.failed,
        mixed: ended.mixed,
        failuresByCode: ended.failuresByCode,
      };
    },
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      await load.finished;
    },
  };
}
