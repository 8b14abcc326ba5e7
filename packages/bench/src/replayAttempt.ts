import { refusalRetryAfterMilliseconds } from '@burdockrail/limits/refusalRetryAfter.js';
import type { ReplayEntry } from './replayEntry.js';
import type { StreamArrival } from './replayTraffic.js';
import type { ReplayNotice } from './replayTypes.js';

/** One attempt of a caller. */
export interface Attempt {
  readonly arrival: StreamArrival;
  readonly entry: ReplayEntry;
  readonly refuse: (freeInMilliseconds: number | null) => void;
  readonly finish: (outcome: 'onTime' | 'late', firstMilliseconds: number) => void;
  /** The engine has crashed; the request is sent again if another attempt is left. */
  readonly interrupted: () => void;
  /** The engine rests; the request is sent again if another attempt is left. */
  readonly refusedByEngine: () => void;
  readonly onSent: (engine: string) => void;
  readonly onNotice: (notice: Omit<ReplayNotice, 'entry'>) => void;
}

/** Engines to which an entry sends one request of a caller. */
export const ENGINE_ATTEMPTS = 2;

/** Time that a caller takes to open a new connection, in milliseconds. */
const RECONNECT_MILLISECONDS = 8;

/** Upper limit on the advised wait before a retry, as a share of the time until the deadline. */
const RETRY_WAIT_SHARE = 1 / 3;

/** Time until a refused caller has sent its request again, in milliseconds. */
export function callerWait(
  freeInMilliseconds: number | null,
  slackMilliseconds: number,
  remainingMilliseconds: number,
): number {
  const retryAfter = refusalRetryAfterMilliseconds({ freeInMilliseconds, slackMilliseconds });
  return Math.min(retryAfter, remainingMilliseconds * RETRY_WAIT_SHARE) + RECONNECT_MILLISECONDS;
}
