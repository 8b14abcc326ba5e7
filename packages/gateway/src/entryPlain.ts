import { ResultCode } from '@burdockrail/common/resultCode.js';
import { chooseUpstream } from '@burdockrail/routing/upstreamChoice.js';
import type { AttemptVerdict } from '@burdockrail/routing/upstreamStanding.js';
import type { AnswerHeaders, HeaderMap } from './dialect.js';
import { connectionLimit, type EntryContext } from './entryContext.js';
import type { Refusal } from './entryAdmission.js';
import { outgoingRequest, type EntryRequest } from './entryRequest.js';

/** Least time left with which an attempt is worth sending, in milliseconds: a local round trip. */
const LEAST_ATTEMPT_MILLISECONDS = 8;

/** Objectives after which a repeatable request without an answer is sent to another upstream. */
const PATIENCE_OBJECTIVES = 2.5;

/** Time to come back when upstreams have no room, in milliseconds: one short request's work. */
const BUSY_RETRY_MILLISECONDS = 60;

/** Time to come back when no upstream is there, in milliseconds. */
const ABSENT_RETRY_MILLISECONDS = 250;

/** Largest answer that is held before it is passed on, in bytes. */
const MAXIMUM_ANSWER_BYTES = 8 * 1024 * 1024;

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
const FAILURE_STATUS = 500;

interface Collected {
  readonly status: number;
  readonly headers: AnswerHeaders;
  readonly rawHeaders: readonly string[];
  readonly parts: Buffer[];
  size: number;
}

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

/** Sends a request to one upstream and collects its whole answer. */
async function attemptPlain(
  entry: EntryContext,
  request: EntryRequest,
  upstream: { readonly id: string; readonly address: string },
  patience: number,
): Promise<PlainOutcome> {
  const { connections, dialect, time, upstreams } = entry;
  const { admitted, signal } = request;
  const outgoing = outgoingRequest(
    request,
    {
      deadlineMilliseconds: Math.floor(admitted.deadline - time.now()),
      upstreamId: upstream.id,
      team: admitted.team?.name ?? null,
      version: null,
      lastEventId: null,
    },
    dialect,
  );
  return new Promise((resolve) => {
    let sent = false;
    let collected: Collected | null = null;
    let timedOut = false;
    const settle = (outcome: PlainOutcome): void => {
      clearTimeout(timer);
      signal.removeEventListener('abort', onAbort);
      resolve(outcome);
    };
    const attempt = connections.run(
      upstream.address,
      connectionLimit(entry, admitted.service),
      outgoing,
      {
        sent: () => {
          sent = true;
        },
        head: (status, headers: HeaderMap, rawHeaders) => {
          const read = dialect.readAnswer(headers);
          if (read.load !== null) {
            const { running, waiting } = read.load;
            upstreams.reported(upstream.id, running + waiting, time.now());
          }
          collected = { status, headers: read, rawHeaders, parts: [], size: 0 };
        },
        data: (bytes) => {
          if (collected === null) return;
          collected.parts.push(bytes);
          collected.size += bytes.length;
          if (collected.size > MAXIMUM_ANSWER_BYTES) attempt.abort();
        },
        end: () => {
          if (collected === null) {
            settle({ kind: 'unknown', verdict: 'broken', reason: 'no answer' });
            return;
          }
          const { status, headers, rawHeaders, parts, size } = collected;
          const body = Buffer.concat(parts, size);
          settle(judgeAnswer(request.id, status, headers, rawHeaders, body));
        },
        failed: (error) => {
          const verdict = timedOut ? 'silent' : 'broken';
          const { message } = error;
          if (sent) settle({ kind: 'unknown', verdict, reason: message });
          else settle({ kind: 'notRun', verdict, reason: message, sent });
        },
      },
    );
    const onAbort = (): void => {
      attempt.abort();
    };
    const timer = setTimeout(() => {
      timedOut = true;
      attempt.abort();
    }, patience);
    signal.addEventListener('abort', onAbort, { once: true });
    if (signal.aborted) onAbort();
  });
}

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
      entry.reportCrash({ content: request.content, upstream: id });
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
