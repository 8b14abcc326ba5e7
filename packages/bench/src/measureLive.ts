import type { System } from '@burdockrail/harness/system.js';
import { createLatencyRecorder, type LatencySummary } from './latencySummary.js';
import { measureNames } from './measureLayout.js';
import { sendProbe } from './modelProbe.js';
import { startOpenLoop } from './openLoopLoad.js';

const ANSWER_TOKENS = 16;

/** Live requests of one period. */
export interface LiveResult {
  readonly firstByte: LatencySummary;
  readonly total: LatencySummary;
  readonly failed: number;
  readonly mixed: number;
  /** Failures by result number. */
  readonly failures: Readonly<Record<string, number>>;
}

/** A running load whose results are collected by periods. */
export interface LiveLoad extends AsyncDisposable {
  /** Ends the present period and begins the next; requests count where they were sent. */
  nextPeriod(): Promise<LiveResult>;
}

interface Period {
  readonly firstByte: ReturnType<typeof createLatencyRecorder>;
  readonly total: ReturnType<typeof createLatencyRecorder>;
  readonly failures: Record<string, number>;
  readonly open: Set<Promise<void>>;
  failed: number;
  mixed: number;
}

function createPeriod(): Period {
  return {
    firstByte: createLatencyRecorder(),
    total: createLatencyRecorder(),
    failures: {},
    open: new Set(),
    failed: 0,
    mixed: 0,
  };
}

/** Starts live requests to the model through all entries, half of them streamed. */
export function startLiveLoad(
  system: System,
  requestsPerSecond: number,
  seed: number,
  published: ReadonlySet<string>,
): LiveLoad {
  const { model, team } = measureNames;
  const entries = system.withRole('entry').map(({ name }) => system.entryUrl(name));
  const stop = new AbortController();
  let period = createPeriod();

  const probe = async (number: number, entry: string, into: Period): Promise<void> => {
    const prompt = `Question ${number} of a guest.`;
    const stream = number % 2 === 0;
    const request = { entry, service: model, team, prompt, tokens: ANSWER_TOKENS, stream };
    const result = await sendProbe(system, request, published);
    if (result.mixed) into.mixed += 1;
    if (result.right) {
      into.firstByte.record(result.firstByteMilliseconds);
      into.total.record(result.totalMilliseconds);
      return;
    }
    into.failed += 1;
    const code = String(result.code);
    into.failures[code] = (into.failures[code] ?? 0) + 1;
  };

  const load = startOpenLoop({
    requestsPerSecond,
    seed,
    stop: stop.signal,
    send: async (number, random) => {
      const entry = entries[random.nextInteger(entries.length)] ?? '';
      const into = period;
      const request = probe(number, entry, into);
      into.open.add(request);
      await request;
      into.open.delete(request);
    },
  });

  return {
    nextPeriod: async () => {
      const ended = period;
      period = createPeriod();
      await Promise.all(ended.open);
      return {
        firstByte: ended.firstByte.summary(),
        total: ended.total.summary(),
        failed: ended.failed,
        mixed: ended.mixed,
        failures: ended.failures,
      };
    },
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      await load.finished;
    },
  };
}
