import { setTimeout as delay } from 'node:timers/promises';
import { monotonicClock } from '@burdockrail/common/timeSource.js';

const POLL_MILLISECONDS = 20;
const DEFAULT_BOUND_MILLISECONDS = 10_000;

/** Bound of a wait and what is waited for. */
export interface WaitOptions {
  readonly what: string;
  readonly boundMilliseconds?: number;
}

/**
 * Polls a probe until it gives a value.
 *
 * @remarks
 * Rejects with the name of what was waited for and the probe's last error when the bound passes.
 */
export async function waitUntil<Value>(
  probe: () => Promise<Value | undefined> | Value | undefined,
  options: WaitOptions,
): Promise<Value> {
  const bound = options.boundMilliseconds ?? DEFAULT_BOUND_MILLISECONDS;
  const endsAt = monotonicClock.now() + bound;
  let lastError = '';
  for (;;) {
    try {
      const value = await probe();
      if (value !== undefined) return value;
    } catch (error) {
      lastError = error instanceof Error ? `: ${error.message}` : '';
    }
    if (monotonicClock.now() > endsAt) {
      throw new Error(`${options.what} did not come about within ${bound} ms${lastError}`);
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
