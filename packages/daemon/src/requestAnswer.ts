import { resultDescriptions, resultName, ResultCode } from '@burdockrail/common/resultCode.js';
import type { AcceptedRequest, RefusedResult, RequestResult } from './requestTypes.js';
import type { AnswerHeaders, RequestCaller } from './requestCaller.js';
import type { NextStep } from './requestFilter.js';

/** Names of the headers that the entry sets on answers. */
export const answerHeaderNames = {
  result: 'burdockrail-result',
  run: 'burdockrail-run',
  version: 'burdockrail-version',
  upstream: 'burdockrail-upstream',
  replayed: 'burdockrail-replayed',
  retryAfter: 'retry-after',
} as const;

/** Default seconds before a retry, for results that may be retried. */
const defaultRetryAfterSeconds: Readonly<Partial<Record<ResultCode, number>>> = {
  [ResultCode.RateLimited]: 1,
  [ResultCode.ConcurrencyLimited]: 1,
  [ResultCode.Overloaded]: 1,
  [ResultCode.NoUpstream]: 2,
  [ResultCode.UpstreamFailed]: 1,
  [ResultCode.AnswerIncomplete]: 1,
  [ResultCode.AnswerMismatched]: 1,
  [ResultCode.Draining]: 1,
  [ResultCode.VersionUnavailable]: 2,
  [ResultCode.RetryBudgetSpent]: 1,
  [ResultCode.AttemptNeverStarted]: 1,
  [ResultCode.LedgerUnreachable]: 2,
  [ResultCode.ClaimInProgress]: 1,
};

/** Returns the JSON document of a refusal. */
export function errorDocument(result: RefusedResult): string {
  const { code, run } = result;
  const retryAfterSeconds = result.retryAfterSeconds ?? defaultRetryAfterSeconds[code];
  const message = result.detail ?? resultDescriptions[code].text;
  return JSON.stringify({
    error: { code, name: resultName(code), message, run, retryAfterSeconds },
  });
}

function errorHeaders(result: RefusedResult): AnswerHeaders {
  const retryAfter = result.retryAfterSeconds ?? defaultRetryAfterSeconds[result.code];
  return {
    'content-type': 'application/json',
    [answerHeaderNames.result]: String(result.code),
    [answerHeaderNames.run]: result.run,
    ...(retryAfter === undefined ? {} : { [answerHeaderNames.retryAfter]: String(retryAfter) }),
  };
}

/** Sends a refusal to the caller. */
export function answerRefusal(caller: RequestCaller, result: RefusedResult): void {
  const { httpStatus } = resultDescriptions[result.code];
  caller.sendAnswer(httpStatus, errorHeaders(result), errorDocument(result));
}

/** Filter that sends the refusal if the rest of the chain refuses the request. */
export async function refusalFilter(
  request: AcceptedRequest,
  next: NextStep<AcceptedRequest>,
): Promise<RequestResult> {
  const result = await next(request);
  if (result.kind === 'refused') answerRefusal(request.caller, result);
  return result;
}
