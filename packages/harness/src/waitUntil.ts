import { setTimeout as delay } from 'node:timers/promises';
import { monotonicClock } from '@burdockrail/common/timeSource.js';

const POLL_MILLISECONDS = 20;
const DEFAULT_TIMEOUT_MILLISECONDS = 10_000;

/** Options of a wait. */
export interface WaitOptions {
  /** The awaited condition, for the error message. */
  readonly description: string;
  readonly timeoutMilliseconds?: number;
}

/**
 * Polls a probe until it returns a value.
 *
 * @remarks
 * Rejects after the timeout, with the description of the wait and the probe's last error.
 */
export async function waitUntil<Value>(
  probe: () => Promise<Value | undefined> | Value | undefined,
  options: WaitOptions,
): Promise<Value> {
  const timeout = options.timeoutMilliseconds ?? DEFAULT_TIMEOUT_MILLISECONDS;
  const endsAt = monotonicClock.now() + timeout;
  let lastError = '';
  for (;;) {
    try {
      const value = await probe();
      if (value !== undefined) return value;
    } catch (error) {
      lastError = error instanceof Error ? `: ${error.message}` : '';
    }
    if (monotonicClock.now() > endsAt) {
      throw new Error(`${options.description}: timed out after ${timeout} ms${lastError}`);
    }
    await delay(POLL_MILLISECONDS);
  }
}

/** Waits until a condition holds. */
export async function waitUntilTrue(
  condition: () => Promise<boolean> | boolean,
  options: WaitOptions,
): Promise<void> {
  await waitUntil(async () => ((await condition()) ? true : undefined), options);
}
