import { setTimeout as pause } from 'node:timers/promises';
import { ResultError } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { GroupStorage } from './groupStorage.js';

/** Delay before a failed storage is opened again, in milliseconds; doubles with each failure. */
const FIRST_DELAY_MILLISECONDS = 100;

/** Longest delay between two tries, in milliseconds. */
const MAXIMUM_DELAY_MILLISECONDS = 1_000;

/** Codes of errors with which a disk refuses writes that it may accept later. */
const refusedWriteCodes: ReadonlySet<unknown> = new Set([
  'ENOSPC',
  'EDQUOT',
  'EFBIG',
  'EIO',
  'EROFS',
]);

/** Tells whether an error means that the disk refuses writes at present. */
export function isRefusedWrite(error: unknown): boolean {
  return error instanceof Error && 'code' in error && refusedWriteCodes.has(error.code);
}

/** Options of {@link reopenStorage}. */
export interface StorageRecoveryOptions {
  readonly openStorage: () => Promise<GroupStorage>;
  /** Called after each try that the disk has refused. */
  readonly onRefused: (error: unknown) => void;
  /** Ends the tries. */
  readonly signal: AbortSignal;
}

/** Tells whether an error means that synced data was damaged, which opening again can't mend. */
export function isCorruptStorage(error: unknown): boolean {
  return error instanceof ResultError && error.code === ResultCode.StorageCorrupt;
}

/**
 * Opens a storage whose disk refuses writes as soon as it accepts them again.
 *
 * @returns `null` after the signal.
 *
 * @throws `ResultError` with `StorageCorrupt` if synced data was damaged.
 */
export async function reopenStorage(options: StorageRecoveryOptions): Promise<GroupStorage | null> {
  const { openStorage, onRefused, signal } = options;
  let delayMilliseconds = FIRST_DELAY_MILLISECONDS;
  for (;;) {
    // The pause rejects only after the signal, which ends the loop.
    await pause(delayMilliseconds, null, { signal }).catch(() => null);
    if (signal.aborted) return null;
    try {
      return await openStorage();
    } catch (error) {
      if (isCorruptStorage(error)) throw error;
      onRefused(error);
    }
    delayMilliseconds = Math.min(2 * delayMilliseconds, MAXIMUM_DELAY_MILLISECONDS);
  }
}
