import { setTimeout as pause } from 'node:timers/promises';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/** Interval between two measurements, in milliseconds. */
const MEASURE_INTERVAL_MILLISECONDS = 20;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

function retainedBytes(): number {
  collectGarbage();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

/** Returns by how much live objects and buffers grow at most until a promise settles, in bytes. */
export async function peakGrowth(work: Promise<unknown>): Promise<number> {
  const before = retainedBytes();
  let peak = before;
  const settled = new AbortController();
  const settle = (): void => {
    settled.abort();
  };
  work.then(settle, settle);
  while (!settled.signal.aborted) {
    peak = Math.max(peak, retainedBytes());
    await pause(MEASURE_INTERVAL_MILLISECONDS);
  }
  return peak - before;
}
