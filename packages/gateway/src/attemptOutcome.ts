import type { AttemptVerdict } from '@burdockrail/routing/upstreamHealthTracker.js';
import type { AnswerHeaders } from './dialect.js';

/** The upstream did not execute the request and will not. */
export interface NotRun {
  readonly kind: 'notRun';
  readonly verdict: AttemptVerdict;
  readonly reason: string;
  /** False when no byte of the request was sent. */
  readonly sent: boolean;
}

/** How an attempt with a buffered answer ended. */
export type BufferedAttemptOutcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly rawHeaders: readonly string[];
      readonly body: Buffer;
    }
  | NotRun
  /** The upstream may have executed the request. */
  | { readonly kind: 'unknown'; readonly verdict: AttemptVerdict; readonly reason: string };

const MISDIRECTED_STATUS = 421;

/** False if an answer belongs to another request, and so says nothing of its upstream now. */
export function isOwnAnswer(requestId: string, headers: Pick<AnswerHeaders, 'requestId'>): boolean {
  return headers.requestId === null || headers.requestId === requestId;
}

/** Outcome of an attempt whose upstream began to rest before anything was sent. */
export const restingOutcome: NotRun = {
  kind: 'notRun',
  verdict: 'full',
  reason: 'the upstream rests',
  sent: false,
};

/** Classifies a complete answer; an answer to another request is never forwarded. */
export function classifyAnswer(
  requestId: string,
  status: number,
  headers: AnswerHeaders,
  rawHeaders: readonly string[],
  body: Buffer,
): BufferedAttemptOutcome {
  if (status === MISDIRECTED_STATUS) {
    const reason = 'another upstream is using the address';
    return { kind: 'notRun', verdict: 'replaced', reason, sent: true };
  }
  if (!isOwnAnswer(requestId, headers)) {
    return { kind: 'unknown', verdict: 'failed', reason: 'the answer belongs to another request' };
  }
  if (headers.notRun) {
    return {
      kind: 'notRun',
      verdict: 'full',
      reason: `upstream refused the request with status ${status}`,
      sent: true,
    };
  }
  if (!headers.signed || headers.requestId === null) {
    return {
      kind: 'unknown',
      verdict: 'failed',
      reason: `answer with status ${status} is not signed by an upstream`,
    };
  }
  return { kind: 'answered', status, rawHeaders, body };
}
