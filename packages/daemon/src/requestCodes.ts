import { ResultCode, type RunState } from '@burdockrail/common/resultCode.js';

/** Internal result codes and the codes that callers get instead. */
const callerCodes: Readonly<Partial<Record<ResultCode, ResultCode>>> = {
  [ResultCode.ConnectionLost]: ResultCode.UpstreamFailed,
  [ResultCode.UnknownMessage]: ResultCode.UpstreamFailed,
};

/** Failures after which an attempt at another upstream may succeed. */
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

/** Returns the code that a caller gets for the failure of an attempt. */
export function callerCode(code: ResultCode): ResultCode {
  return callerCodes[code] ?? code;
}

/** Combines the run states of two attempts of one request. */
export function combineRunStates(left: RunState, right: RunState): RunState {
  if (left === 'ran' || right === 'ran') return 'ran';
  return left === 'unknown' || right === 'unknown' ? 'unknown' : 'not-run';
}
