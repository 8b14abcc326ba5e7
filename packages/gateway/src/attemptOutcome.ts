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

/**
 * True when the head alone decides about the answer, whose connection must then be closed.
 *
 * @remarks
 * The real answer may still follow a foreign one. The request that another upstream at the address
 * refused may be sent to the address again under the same id, so that a late copy of the refusal
 * could be taken for the second answer.
 */
export function endsConnection(requestId: string, status: number, headers: AnswerHeaders): boolean {
  return status === MISDIRECTED_STATUS || !isOwnAnswer(requestId, headers);
}

/**
 * Classifies a complete answer; an answer to another request is never forwarded.
 *
 * @remarks
 * A late copy of an earlier answer can arrive in place of the answer to this request, so a refusal
 * counts only if it names this request.
 */
export function classifyAnswer(
  requestId: string,
  status: number,
  headers: AnswerHeaders,
  rawHeaders: readonly string[],
  body: Buffer,
): BufferedAttemptOutcome {
  if (!isOwnAnswer(requestId, headers)) {
    return { kind: 'unknown', verdict: 'failed', reason: 'the answer belongs to another request' };
  }
  if (headers.requestId === null) {
    const reason = `answer with status ${status} does not name its request`;
    return { kind: 'unknown', verdict: 'failed', reason };
  }
  if (status === MISDIRECTED_STATUS) {
    const reason = 'another upstream is using the address';
    return { kind: 'notRun', verdict: 'replaced', reason, sent: true };
  }
  if (headers.notRun) {
    return {
      kind: 'notRun',
      verdict: 'full',
      reason: `upstream refused the request with status ${status}`,
      sent: true,
    };
  }
  if (!headers.signed) {
    return {
      kind: 'unknown',
      verdict: 'failed',
      reason: `answer with status ${status} is not signed by an upstream`,
    };
  }
  return { kind: 'answered', status, rawHeaders, body };
}
