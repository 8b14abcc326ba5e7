import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { RunState } from '@burdockrail/common/resultCode.js';
import type { AttemptFailed } from '@burdockrail/protocol/protocolAttempt.js';

/** Failure of an attempt with what is sure about its run. */
export class AttemptError extends Error {
  constructor(
    readonly code: ResultCode,
    readonly run: RunState,
    detail: string,
    readonly upstreamCrashed = false,
  ) {
    super(detail);
    this.name = 'AttemptError';
  }
}

/** Error codes of connections that never came to be, so that nothing was sent on them. */
const neverConnected: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

function errorCode(error: unknown): string {
  return error instanceof Error && 'code' in error ? String(error.code) : '';
}

/** Turns an error of the first request to the upstream into a failure of the attempt. */
export async function sendFailure(
  error: unknown,
  isReachable: () => Promise<boolean>,
): Promise<AttemptError> {
  if (error instanceof AttemptError) return error;
  const detail = error instanceof Error ? error.message : String(error);
  if (neverConnected.has(errorCode(error))) {
    return new AttemptError(ResultCode.UpstreamFailed, 'not-run', detail);
  }
  return lostConnection(detail, isReachable);
}

/** Failure of an attempt whose connection broke while the upstream ran it. */
export async function lostConnection(
  detail: string,
  isReachable: () => Promise<boolean>,
): Promise<AttemptError> {
  const crashed = !(await isReachable());
  return new AttemptError(ResultCode.UpstreamFailed, 'unknown', detail, crashed);
}

/** The item that tells an entry of a failure. */
export function failedItem(attemptId: string, error: AttemptError): AttemptFailed {
  return {
    kind: 'failed',
    attemptId,
    code: error.code,
    run: error.run,
    detail: error.message,
    upstreamCrashed: error.upstreamCrashed,
  };
}
