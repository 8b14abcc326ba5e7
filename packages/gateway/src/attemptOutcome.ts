import type { AttemptVerdict } from '@burdockrail/routing/upstreamHealthTracker.js';
import type { AnswerHeaders } from './dialect.js';

/** The upstream has not run the request and will not. */
export interface NotRun {
  readonly kind: 'notRun';
  readonly verdict: AttemptVerdict;
  readonly reason: string;
  /** False when not a byte of the request was sent. */
  readonly sent: boolean;
}

/** How one attempt ended. */
export type PlainOutcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly rawHeaders: readonly string[];
      readonly body: Buffer;
    }
  | NotRun
  /** It may have run. */
  | { readonly kind: 'unknown'; readonly verdict: AttemptVerdict; readonly reason: string };

const MISDIRECTED_STATUS = 421;

/** What a complete answer says of the attempt; answers of other requests are never passed on. */
export function judgeAnswer(
  requestId: string,
  status: number,
  headers: AnswerHeaders,
  rawHeaders: readonly string[],
  body: Buffer,
): PlainOutcome {
  if (status === MISDIRECTED_STATUS) {
    const reason = 'another upstream has the address';
    return { kind: 'notRun', verdict: 'replaced', reason, sent: true };
  }
  if (headers.requestId !== null && headers.requestId !== requestId) {
    return { kind: 'unknown', verdict: 'failed', reason: 'the answer belongs to another request' };
  }
  if (headers.notRun) {
    return { kind: 'notRun', verdict: 'full', reason: `refused with ${status}`, sent: true };
  }
  if (!headers.signed || headers.requestId === null) {
    return { kind: 'unknown', verdict: 'failed', reason: `unsigned answer ${status}` };
  }
  return { kind: 'answered', status, rawHeaders, body };
}
