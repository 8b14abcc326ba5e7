import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { RunState } from '@burdockrail/common/resultCode.js';
import type { AttemptFailed } from '@burdockrail/protocol/protocolAttempt.js';

/** Failure of an attempt, with what is known about whether the upstream ran it. */
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

/** Codes of errors before a connection was established, so that nothing was sent. */
const connectErrorCodes: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

function errorCode(error: unknown): string {
  return error instanceof Error && 'code' in error ? String(error.code) : '';
}

/** Converts an error of sending the request to the upstream. */
export async function sendError(
  error: unknown,
  isReachable: () => Promise<boolean>,
): Promise<AttemptError> {
  if (error instanceof AttemptError) return error;
  const detail = error instanceof Error ? error.message : String(error);
  if (connectErrorCodes.has(errorCode(error))) {
    return new AttemptError(ResultCode.UpstreamFailed, 'not-run', detail);
  }
  return connectionLostError(detail, isReachable);
}

/** Creates the error for a connection that broke while the upstream ran the attempt. */
export async function connectionLostError(
  detail: string,
  isReachable: () => Promise<boolean>,
): Promise<AttemptError> {
  const hasCrashed = !(await isReachable());
  return new AttemptError(ResultCode.UpstreamFailed, 'unknown', detail, hasCrashed);
}

/** Creates the item that reports a failure to the entry. */
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
