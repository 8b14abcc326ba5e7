import { ResultCode } from '@burdockrail/common/resultCode.js';
import { chooseUpstream } from '@burdockrail/routing/upstreamChoice.js';
import type { PlainOutcome } from './attemptOutcome.js';
import type { EntryContext } from './entryContext.js';
import type { Refusal } from './entryAdmission.js';
import type { EntryRequest } from './entryRequest.js';
import { attemptPlain } from './plainAttempt.js';

/** Least time left with which an attempt is worth sending, in milliseconds: a local round trip. */
const LEAST_ATTEMPT_MILLISECONDS = 8;

/** Objectives after which a repeatable request without an answer is sent to another upstream. */
const PATIENCE_OBJECTIVES = 2.5;

/** Time to come back when upstreams have no room, in milliseconds: one short request's work. */
const BUSY_RETRY_MILLISECONDS = 60;

/** Time to come back when no upstream is there, in milliseconds: a restart or a cut takes longer. */
const ABSENT_RETRY_MILLISECONDS = 500;

const FAILURE_STATUS = 500;

function noteOutcome(
  entry: EntryContext,
  request: EntryRequest,
  id: string,
  outcome: PlainOutcome,
  sentAt: number,
): void {
  const now = entry.time.now();
  if (request.signal.aborted) {
    // The caller left or the deadline passed: that speaks against an upstream only after a while.
    const { objectiveMilliseconds } = request.admitted.route;
    const isSilent = now - sentAt > objectiveMilliseconds * PATIENCE_OBJECTIVES;
    if (isSilent) entry.upstreams.note(id, 'silent', now);
    return;
  }
  if (outcome.kind !== 'answered') entry.upstreams.note(id, outcome.verdict, now);
  else entry.upstreams.note(id, outcome.status >= FAILURE_STATUS ? 'failed' : 'answered', now);
}

/** What is told to a caller whose attempts all ended without an answer. */
function finalRefusal(last: PlainOutcome | null, mayHaveRun: boolean): Refusal {
  if (mayHaveRun) {
    const detail = last === null || last.kind === 'answered' ? '' : last.reason;
    return { code: ResultCode.UpstreamFailed, detail, retryAfterMilliseconds: null };
  }
  if (last === null || last.kind === 'answered') {
    return {
      code: ResultCode.NoUpstream,
      detail: 'no upstream is ready',
      retryAfterMilliseconds: ABSENT_RETRY_MILLISECONDS,
    };
  }
  return {
    code: ResultCode.Overloaded,
    detail: last.reason,
    retryAfterMilliseconds: BUSY_RETRY_MILLISECONDS,
  };
}

/**
 * Carries out a request whose answer is passed on as a whole.
 *
 * @remarks
 * A request that may run once is sent again only after an upstream said, or the connection shows,
 * that it has not run.
 */
export async function runPlain(entry: EntryContext, request: EntryRequest): Promise<void> {
  const { time, random, upstreams, beliefs, retries, log } = entry;
  const { admitted, answer, signal, trace } = request;
  const { route, service } = admitted;
  const isRepeatable = route.kind === 'repeatable';
  const tried = new Set<string>();
  let sends = 0;
  let mayHaveRun = false;
  let last: PlainOutcome | null = null;
  let failureAnswer: Extract<PlainOutcome, { readonly kind: 'answered' }> | null = null;

  const mayGoOn = (): boolean =>
    !signal.aborted &&
    sends < route.attempts &&
    (isRepeatable || !mayHaveRun) &&
    admitted.deadline - time.now() > LEAST_ATTEMPT_MILLISECONDS;

  while (mayGoOn()) {
    const now = time.now();
    const candidates = upstreams.candidates(service, now);
    const question = { dataCentre: entry.settings.dataCentre, tried, draw: random.next() };
    const chosen = chooseUpstream(candidates, question);
    const known = chosen === undefined ? undefined : beliefs.directory.get(chosen.id);
    if (known === undefined) break;
    if (sends > 0 && !retries.trySpend(service, beliefs.entries, now)) break;
    const { id, address } = known.record;
    tried.add(id);
    const left = admitted.deadline - now;
    const hasOther = isRepeatable && sends + 1 < route.attempts && candidates.length > 1;
    const patient = route.objectiveMilliseconds * PATIENCE_OBJECTIVES;
    upstreams.began(id);
    trace.attempts += 1;
    trace.upstreams.push(id);
    const patience = hasOther ? Math.min(left, patient) : left;
    const outcome = await attemptPlain(entry, request, { id, address }, patience);
    upstreams.ended(id);
    noteOutcome(entry, request, id, outcome, now);
    last = outcome;
    if (outcome.kind === 'answered') {
      const isFailure = outcome.status >= FAILURE_STATUS;
      entry.ranWhole(request.content);
      if (isFailure) failureAnswer = outcome;
      if (!isFailure || !isRepeatable) {
        answer.whole(outcome.status, outcome.rawHeaders, outcome.body);
        return;
      }
      sends += 1;
      mayHaveRun = true;
      continue;
    }
    log.write('attemptEnded', {
      request: request.id,
      upstream: id,
      outcome: outcome.kind,
      verdict: outcome.verdict,
      sent: outcome.kind === 'unknown' || outcome.sent,
      reason: outcome.reason,
    });
    if (outcome.kind === 'unknown' || outcome.sent) sends += 1;
    if (outcome.kind === 'unknown') mayHaveRun = true;
    if (outcome.kind === 'unknown' && outcome.verdict === 'broken' && !signal.aborted) {
      entry.brokeOff({ content: request.content, upstream: id });
    }
  }
  if (signal.aborted) return;
  if (failureAnswer !== null) {
    answer.whole(failureAnswer.status, failureAnswer.rawHeaders, failureAnswer.body);
    return;
  }
  const refusal = finalRefusal(last, mayHaveRun);
  trace.cause = refusal.detail;
  answer.refuse(refusal);
}
