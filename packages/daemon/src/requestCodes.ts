import { ResultCode, type RunState } from '@burdockrail/common/resultCode.js';

/** Codes between processes that callers are told in their own terms. */
const callerCodes: Readonly<Partial<Record<ResultCode, ResultCode>>> = {
  [ResultCode.ConnectionLost]: ResultCode.UpstreamFailed,
  [ResultCode.UnknownMessage]: ResultCode.UpstreamFailed,
};

/** Failures after which another upstream may do better. */
export const retryableCodes: ReadonlySet<ResultCode> = new Set([
  ResultCode.NoUpstream,
  ResultCode.Overloaded,
  ResultCode.UpstreamFailed,
  ResultCode.AnswerIncomplete,
  ResultCode.AnswerMismatched,
  ResultCode.Draining,
  ResultCode.VersionUnavailable,
  ResultCode.AttemptNeverStarted,
  ResultCode.InternalError,
  ResultCode.WeightsIncomplete,
  ResultCode.ConnectionLost,
  ResultCode.UnknownMessage,
]);

/** Code that stands towards a caller for the failure of an attempt. */
export function callerCode(code: ResultCode): ResultCode {
  return callerCodes[code] ?? code;
}

/** What is known of a request after one more attempt. */
export function joinRuns(left: RunState, right: RunState): RunState {
  if (left === 'ran' || right === 'ran') return 'ran';
  return left === 'unknown' || right === 'unknown' ? 'unknown' : 'not-run';
}
