import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { UpstreamRecord } from '@burdockrail/protocol/protocolDirectory.js';
import { chooseUpstream, type UpstreamCandidate } from '@burdockrail/routing/upstreamChoice.js';
import type { BufferedAttemptOutcome } from './attemptOutcome.js';
import type { EntryContext } from './entryContext.js';
import type { Refusal } from './entryAdmission.js';
import type { EntryRequest } from './entryRequest.js';
import { attemptBuffered } from './bufferedAttempt.js';
import { restingRefusal } from './upstreamRests.js';

/** Minimum remaining time for starting an attempt, in milliseconds: a local round trip. */
const MINIMUM_ATTEMPT_MILLISECONDS = 8;

/** Attempt timeout of a repeatable request, in multiples of the route's latency objective. */
const ATTEMPT_TIMEOUT_OBJECTIVES = 2.5;

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
    const isSilent = now - sentAt > objectiveMilliseconds * ATTEMPT_TIMEOUT_OBJECTIVES;
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

/**
 * Executes a request whose answer is buffered and forwarded once it is complete.
 *
 * @remarks
 * A request that is not repeatable is sent again only if the upstream states, or the connection
 * shows, that it was not executed.
 */
export async function runBuffered(entry: EntryContext, request: EntryRequest): Promise<void> {
  const { time, random, upstreams, clusterView, retryBudget, quarantine, limits, rests, log } =
    entry;
  const { admitted, answer, signal, trace } = request;
  const { route, service } = admitted;
  const isRepeatable = route.kind === 'repeatable';
  const tried = new Set<string>();
  let sentCount = 0;
  let paidRetries = 0;
  let mayHaveRun = false;
  let lastOutcome: BufferedAttemptOutcome | null = null;
  let limitedMilliseconds: number | null = null;
  let restMilliseconds: number | null = null;
  let failureAnswer: Extract<BufferedAttemptOutcome, { readonly kind: 'answered' }> | null = null;

  const canAttempt = (): boolean =>
    !signal.aborted &&
    sentCount < route.attempts &&
    (isRepeatable || !mayHaveRun) &&
    (sentCount === 0 || quarantine.mayRetry(request.traits, time.now())) &&
    admitted.deadline - time.now() > MINIMUM_ATTEMPT_MILLISECONDS;

  /**
   * Takes a retry from the shared budget for an attempt after a number of others; one that turned out
   * not to be sent leaves its retry to the next.
   */
  const takeRetry = (earlierAttempts: number): boolean => {
    if (earlierAttempts <= paidRetries) return true;
    if (!retryBudget.trySpend(service, clusterView.entries, time.now())) return false;
    paidRetries = earlierAttempts;
    return true;
  };

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

  /** The upstream that gets the request next, if it was chosen to replace a silent one; or empty. */
  const successors: UpstreamRecord[] = [];
  /** True if a silent upstream may be given up: another one and a retry are at hand. */
  const hasSuccessor = (): boolean => {
    const successor = successors.pop() ?? chooseNext();
    if (successor === null) return false;
    successors.push(successor);
    return takeRetry(sentCount + 1);
  };

  while (canAttempt()) {
    const next = successors.pop() ?? chooseNext();
    if (next === null) break;
    const { id, address, startedAt } = next;
    const now = time.now();
    if (!takeRetry(sentCount)) break;
    const remainingMilliseconds = admitted.deadline - now;
    const canFailOver = isRepeatable && sentCount + 1 < route.attempts;
    const attemptTimeoutMilliseconds = route.objectiveMilliseconds * ATTEMPT_TIMEOUT_OBJECTIVES;
    upstreams.requestStarted(id);
    trace.attempts += 1;
    trace.upstreams.push(id);
    const timeoutMilliseconds = canFailOver
      ? Math.min(remainingMilliseconds, attemptTimeoutMilliseconds)
      : remainingMilliseconds;
    const outcome = await attemptBuffered(
      entry,
      request,
      { id, address, startedAt },
      timeoutMilliseconds,
      () => !canFailOver || hasSuccessor(),
    );
    upstreams.requestEnded(id);
    recordVerdict(entry, request, id, outcome, now);
    lastOutcome = outcome;
    if (outcome.kind === 'answered') {
      const isFailure = outcome.status >= SERVER_ERROR_STATUS;
      quarantine.recordCompletion(request.traits, time.now());
      if (isFailure) failureAnswer = outcome;
      if (!isFailure || !isRepeatable) {
        answer.sendBuffered(outcome.status, outcome.rawHeaders, outcome.body);
        return;
      }
      sentCount += 1;
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
    if (outcome.kind === 'unknown' || outcome.sent) sentCount += 1;
    if (outcome.kind === 'unknown') mayHaveRun = true;
    if (outcome.kind === 'unknown' && outcome.verdict === 'broken' && !signal.aborted) {
      quarantine.recordConnectionLoss(request.traits, id);
    }
  }
  if (signal.aborted) return;
  if (failureAnswer !== null) {
    answer.sendBuffered(failureAnswer.status, failureAnswer.rawHeaders, failureAnswer.body);
    return;
  }
  const refusal = refusalAfter(lastOutcome, mayHaveRun, { limitedMilliseconds, restMilliseconds });
  trace.cause = refusal.detail;
  answer.refuse(refusal);
}
