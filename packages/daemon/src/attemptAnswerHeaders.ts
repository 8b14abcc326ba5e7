import type { Dispatcher } from 'undici';
import {
  LEAVING_HEADER,
  REQUESTS_PER_SECOND_HEADER,
  REQUEST_ID_HEADER,
  RETRY_AFTER_HEADER,
} from './attemptUpstream.js';

/** HTTP status of a refusal that may ask for a rest. */
const UNAVAILABLE_STATUS = 503;

const MILLISECONDS_PER_SECOND = 1_000;

/** Head of an upstream's HTTP answer. */
export type AnswerHead = Pick<Dispatcher.ResponseData, 'statusCode' | 'headers'>;

/** Returns the first value of a header; its name is in lower case. */
export function firstHeaderValue({ headers }: AnswerHead, name: string): string | undefined {
  const value = headers[name];
  return typeof value === 'string' ? value : value?.[0];
}

/** Limit that an answer names, in requests per second; `null` without one. */
export function namedLimit(head: AnswerHead): number | null {
  const requestsPerSecond = Number(
    firstHeaderValue(head, REQUESTS_PER_SECOND_HEADER) ?? Number.NaN,
  );
  return requestsPerSecond >= 0 && Number.isFinite(requestsPerSecond) ? requestsPerSecond : null;
}

/** False if an answer names another attempt; an upstream may refuse one without its id. */
function isOwnAnswer(attemptId: string, head: AnswerHead): boolean {
  const requestId = firstHeaderValue(head, REQUEST_ID_HEADER);
  return requestId === undefined || requestId === attemptId;
}

/** True if the upstream says in its answer to this attempt that it leaves. */
export function saysLeaving(attemptId: string, head: AnswerHead): boolean {
  return isOwnAnswer(attemptId, head) && firstHeaderValue(head, LEAVING_HEADER) === '1';
}

/** Rest that a refusal of this attempt asks for, in milliseconds; `null` for any other answer. */
export function requestedRest(attemptId: string, head: AnswerHead): number | null {
  if (head.statusCode !== UNAVAILABLE_STATUS || !isOwnAnswer(attemptId, head)) return null;
  const seconds = Number(firstHeaderValue(head, RETRY_AFTER_HEADER) ?? Number.NaN);
  return seconds > 0 ? seconds * MILLISECONDS_PER_SECOND : null;
}
