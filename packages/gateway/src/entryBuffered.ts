import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { UpstreamRecord } from '@burdockrail/protocol/protocolDirectory.js';
import { chooseUpstream, type UpstreamCandidate } from '@burdockrail/routing/upstreamChoice.js';
import type { BufferedAttemptOutcome, NotRun } from './attemptOutcome.js';
import { runHedged, type HedgedAttempt } from './bufferedHedge.js';
import type { EntryContext } from './entryContext.js';
import type { Refusal } from './entryAdmission.js';
import type { EntryRequest } from './entryRequest.js';
import { attemptBuffered, type SilenceOptions } from './bufferedAttempt.js';
import { createRequestRetries } from './requestRetries.js';
import { restingRefusal } from './upstreamRests.js';

/** Minimum remaining time for starting an attempt, in milliseconds: a local round trip. */
const MINIMUM_ATTEMPT_MILLISECONDS = 8;

/** Time after which an upstream counts as silent, in multiples of the route's latency objective. */
const SILENCE_OBJECTIVES = 2.5;

/** Retry delay when upstreams are at capacity, in milliseconds: the duration of a short request. */
const OVERLOADED_RETRY_AFTER_MILLISECONDS = 60;

/** Retry delay when no upstream is ready, in milliseconds: a restart or partition takes longer. */
const NO_UPSTREAM_RETRY_AFTER_MILLISECONDS = 500;

/**
 * Longest retry delay when all upstreams limit their requests, in milliseconds: another entry may
 * have a turn long before this one.
 */
const LIMITED_RETRY_AFTER_MILLISECONDS = 500;

const SERVER_ERROR_STATUS = 500;

function recordVerdict(
  entry: EntryContext,
  request: EntryRequest,
  id: string,
  outcome: BufferedAttemptOutcome,
  sentAt: number,
): void {
  const now = entry.time.now();
  if (request.signal.aborted) {
    // The caller left or the deadline passed; that counts against the upstream only if it was slow.
    const { objectiveMilliseconds } = request.admitted.route;
    const isSilent = now - sentAt > objectiveMilliseconds * SILENCE_OBJECTIVES;
    if (isSilent) entry.upstreams.recordVerdict(id, 'silent', now);
    return;
  }
  if (outcome.kind !== 'answered') entry.upstreams.recordVerdict(id, outcome.verdict, now);
  else
    entry.upstreams.recordVerdict(
      id,
      outcome.status >= SERVER_ERROR_STATUS ? 'failed' : 'answered',
      now,
    );
}

/** Times for which upstreams that were not asked hold requests off, in milliseconds; `null` if none. */
interface HoldTimes {
  readonly limitedMilliseconds: number | null;
  readonly restMilliseconds: number | null;
}

/** Selects the refusal for a caller whose attempts all ended without an answer. */
function refusalAfter(
  lastOutcome: BufferedAttemptOutcome | null,
  mayHaveRun: boolean,
  { limitedMilliseconds, restMilliseconds }: HoldTimes,
): Refusal {
  if (mayHaveRun) {
    const detail =
      lastOutcome === null || lastOutcome.kind === 'answered' ? '' : lastOutcome.reason;
    return { code: ResultCode.UpstreamFailed, detail, retryAfterMilliseconds: null };
  }
  if (limitedMilliseconds !== null) {
    return {
      code: ResultCode.Overloaded,
      detail: 'upstreams limit their requests',
      retryAfterMilliseconds: Math.min(limitedMilliseconds, LIMITED_RETRY_AFTER_MILLISECONDS),
    };
  }
  if (restMilliseconds !== null) return restingRefusal(restMilliseconds);
  if (
    lastOutcome === null ||
    lastOutcome.kind === 'answered' ||
    lastOutcome.verdict === 'leaving'
  ) {
    return {
      code: ResultCode.NoUpstream,
      detail: 'no upstream is ready',
      retryAfterMilliseconds: NO_UPSTREAM_RETRY_AFTER_MILLISECONDS,
    };
  }
  return {
    code: ResultCode.Overloaded,
    detail: lastOutcome.reason,
    retryAfterMilliseconds: OVERLOADED_RETRY_AFTER_MILLISECONDS,
  };
}

/** Attempts that have ended. */
interface AttemptTally {
  sent: number;
  mayHaveRun: boolean;
  lastOutcome: BufferedAttemptOutcome | null;
  /** The last server error of an upstream, sent to the caller if no other upstream answers. */
  failureAnswer: Extract<BufferedAttemptOutcome, { readonly kind: 'answered' }> | null;
}

/**
 * Executes a request whose answer is buffered and forwarded once it is complete.
 *
 * @remarks
 * A request that is not repeatable is sent again only if the upstream states, or the connection
 * shows, that it was not executed.
 */
export async function runBuffered(entry: EntryContext, request: EntryRequest): Promise<void> {
  const { time, random, upstreams, clusterView, quarantine, limits, rests, log } = entry;
  const { admitted, answer, signal, trace } = request;
  const { route, service } = admitted;
  const isRepeatable = route.kind === 'repeatable';
  const tried = new Set<string>();
  const retries = createRequestRetries(entry, request);
  const attempts: AttemptTally = {
    sent: 0,
    mayHaveRun: false,
    lastOutcome: null,
    failureAnswer: null,
  };
  let limitedMilliseconds: number | null = null;
  let restMilliseconds: number | null = null;

  /** True if another attempt may be made besides those that ended and the given number in progress. */
  const canAttempt = (inProgress: number): boolean =>
    !signal.aborted &&
    attempts.sent + inProgress < route.attempts &&
    (isRepeatable || (!attempts.mayHaveRun && inProgress === 0)) &&
    (attempts.sent + inProgress === 0 || quarantine.mayRetry(request.traits, time.now())) &&
    admitted.deadline - time.now() > MINIMUM_ATTEMPT_MILLISECONDS;

  const shortestRestMilliseconds = (now: Milliseconds): Milliseconds | null =>
    rests.shortestRestMilliseconds(
      clusterView.directory.ready(service).map(({ record }) => record),
      now,
    );

  const availableUpstreams = (now: Milliseconds): readonly UpstreamCandidate[] =>
    upstreams
      .candidates(service, now)
      .filter(({ id }) => rests.restMilliseconds(rests.incarnationOf(id), now) === 0)
      .map((candidate) => {
        const isAvoided = rests.isAvoided(rests.incarnationOf(candidate.id), now);
        return { ...candidate, suspended: candidate.suspended || isAvoided };
      });

  /** Chooses an upstream that may get the request now; `null` if there is none left to try. */
  const chooseNext = (): UpstreamRecord | null => {
    for (;;) {
      const now = time.now();
      const candidates = availableUpstreams(now);
      const criteria = { dataCentre: entry.settings.dataCentre, tried, draw: random.next() };
      const chosen = chooseUpstream(candidates, criteria);
      const record =
        chosen === undefined ? undefined : clusterView.directory.get(chosen.id)?.record;
      if (record === undefined) {
        if (candidates.length === 0) restMilliseconds = shortestRestMilliseconds(now);
        return null;
      }
      tried.add(record.id);
      const untilAllowed = limits.take(record.id, clusterView, Date.now());
      if (untilAllowed === 0) return record;
      limitedMilliseconds = Math.min(limitedMilliseconds ?? untilAllowed, untilAllowed);
    }
  };

  /** An upstream that was chosen but not sent the request, since no retry was left. */
  let reserved: UpstreamRecord | null = null;
  /** Returns it unless it has begun to drain, to rest or is gone since. */
  const usableReserved = (): UpstreamRecord | null =>
    availableUpstreams(time.now()).some(({ id }) => id === reserved?.id) ? reserved : null;
  const chooseSuccessor = (inProgress: number): UpstreamRecord | null => {
    if (!canAttempt(inProgress)) return null;
    const successor = usableReserved() ?? chooseNext();
    reserved = successor;
    if (successor === null || !retries.take(attempts.sent + inProgress)) return null;
    reserved = null;
    return successor;
  };

  const logEnd = (
    upstream: string,
    outcome: 'notRun' | 'unknown',
    end: Pick<NotRun, 'verdict' | 'sent' | 'reason'>,
  ): void => {
    log.write('attemptEnded', { request: request.id, upstream, outcome, ...end });
  };

  const recordEnd = (
    { upstream: { id }, sentAt }: HedgedAttempt,
    outcome: BufferedAttemptOutcome,
  ): void => {
    recordVerdict(entry, request, id, outcome, sentAt);
    attempts.lastOutcome = outcome;
    if (outcome.kind === 'answered') {
      quarantine.recordCompletion(request.traits, time.now());
      if (outcome.status >= SERVER_ERROR_STATUS) attempts.failureAnswer = outcome;
      attempts.sent += 1;
      attempts.mayHaveRun = true;
      return;
    }
    const { kind, verdict, reason } = outcome;
    const sent = kind === 'unknown' || outcome.sent;
    logEnd(id, kind, { verdict, sent, reason });
    if (sent) attempts.sent += 1;
    if (kind !== 'unknown') return;
    attempts.mayHaveRun = true;
    if (verdict === 'broken' && !signal.aborted)
      quarantine.recordConnectionLoss(request.traits, id);
  };

  /** Records an attempt that was given up because another upstream has answered. */
  const recordGivenUp = ({ upstream: { id }, isSilent }: HedgedAttempt): void => {
    if (!isSilent) return;
    upstreams.recordVerdict(id, 'silent', time.now());
    logEnd(id, 'unknown', {
      verdict: 'silent',
      sent: true,
      reason: 'no answer in time, another upstream has answered',
    });
  };

  const run = async (
    { id, address, startedAt }: UpstreamRecord,
    silence: SilenceOptions,
  ): Promise<BufferedAttemptOutcome> => {
    upstreams.requestStarted(id);
    trace.attempts += 1;
    trace.upstreams.push(id);
    const remainingMilliseconds = admitted.deadline - time.now();
    const upstream = { id, address, startedAt };
    return attemptBuffered(entry, request, upstream, remainingMilliseconds, silence).finally(() => {
      upstreams.requestEnded(id);
    });
  };

  for (;;) {
    const first = chooseSuccessor(0);
    if (first === null) break;
    const outcome = await runHedged(first, {
      time,
      silenceMilliseconds: Math.max(
        MINIMUM_ATTEMPT_MILLISECONDS,
        route.objectiveMilliseconds * SILENCE_OBJECTIVES,
      ),
      run,
      chooseSuccessor,
      decides: (ended) =>
        ended.kind === 'answered' && (!isRepeatable || ended.status < SERVER_ERROR_STATUS),
      ended: recordEnd,
      givenUp: recordGivenUp,
    });
    if (outcome?.kind !== 'answered') continue;
    answer.sendBuffered(outcome.status, outcome.rawHeaders, outcome.body);
    return;
  }
  if (signal.aborted) return;
  const { lastOutcome, mayHaveRun, failureAnswer } = attempts;
  if (failureAnswer !== null) {
    answer.sendBuffered(failureAnswer.status, failureAnswer.rawHeaders, failureAnswer.body);
    return;
  }
  const refusal = refusalAfter(lastOutcome, mayHaveRun, { limitedMilliseconds, restMilliseconds });
  trace.cause = refusal.detail;
  answer.refuse(refusal);
}
