import { ResultCode, type RunState } from '@burdockrail/common/resultCode.js';
import type { UpstreamView } from '@burdockrail/membership/upstreamDirectory.js';
import type { EntryServices } from './entryServices.js';
import {
  createAttemptStart,
  createAttemptId,
  type AttemptFailure,
  type AttemptOutcome,
} from './requestAttempt.js';
import { callerCode, combineRunStates, retryableCodes } from './requestCodes.js';
import { toRetryAfterSeconds } from './requestQuarantine.js';
import { createAnswerRelay, errorEvent } from './requestRelay.js';
import { chooseUpstream } from './requestRoute.js';
import { refusal, type IdentifiedRequest, type RequestResult } from './requestTypes.js';

/** Failures that say nothing against the upstream; it names a limit when it is overloaded. */
const blamelessCodes: ReadonlySet<ResultCode> = new Set([
  ResultCode.DeadlineExceeded,
  ResultCode.Overloaded,
]);

/** Attempts of a repeatable request so far. */
interface RepeatableProgress {
  readonly excluded: ReadonlySet<string>;
  readonly attempts: number;
  readonly run: RunState;
  readonly lastFailure?: AttemptFailure;
}

/** Creates the result for a request that is not tried at any further upstream. */
function finalRefusal(request: IdentifiedRequest, progress: RepeatableProgress): RequestResult {
  const { lastFailure } = progress;
  if (lastFailure !== undefined) {
    return refusal(callerCode(lastFailure.code), progress.run, {
      detail: lastFailure.detail,
    });
  }
  const isVersionPinned = request.versionDigest !== undefined;
  return refusal(
    isVersionPinned ? ResultCode.VersionUnavailable : ResultCode.NoUpstream,
    progress.run,
  );
}

/** Returns the result if no further attempt may be made; null if the next one may begin. */
function findStopResult(
  services: EntryServices,
  request: IdentifiedRequest,
  progress: RepeatableProgress,
): RequestResult | null {
  if (services.time.now() >= request.deadlineAt) {
    return refusal(ResultCode.DeadlineExceeded, progress.run);
  }
  if (progress.attempts === 0 || services.retryBudget.trySpend(request.service.name)) return null;
  const { detail } = progress.lastFailure ?? {};
  return refusal(ResultCode.RetryBudgetSpent, progress.run, detail === undefined ? {} : { detail });
}

function withFailure(
  progress: RepeatableProgress,
  agent: string,
  failure: AttemptFailure,
): RepeatableProgress {
  return {
    excluded: new Set([...progress.excluded, agent]),
    attempts: progress.attempts + 1,
    run: combineRunStates(progress.run, failure.run),
    lastFailure: failure,
  };
}

/** Runs one attempt and reports its outcome to the router and the metrics. */
async function runAttempt(
  services: EntryServices,
  request: IdentifiedRequest,
  upstream: UpstreamView,
): Promise<AttemptOutcome> {
  const { agent, address } = upstream.announcement;
  const attemptId = createAttemptId();
  const endAttempt = services.router.beginAttempt(upstream, request.prefixes);
  const outcome = await services.attempts.run(
    {
      attemptId,
      address,
      start: createAttemptStart(request, attemptId, services.time.now()),
      signal: request.caller.disconnected,
      failsOnServerError: true,
    },
    createAnswerRelay(request.caller, agent),
  );
  services.metrics.recordAttempt(request.service.name, outcome.kind);
  const isUpstreamFault =
    outcome.kind === 'failed' &&
    !request.caller.disconnected.aborted &&
    !blamelessCodes.has(outcome.code);
  const verdict = outcome.kind === 'whole' ? 'succeeded' : isUpstreamFault ? 'failed' : 'neutral';
  endAttempt(verdict, services.time.now());
  return outcome;
}

/**
 * Runs one attempt, with a grant if its content is suspected of crashing upstreams; returns a
 * refusal if it may not run.
 */
async function runWithQuarantine(
  services: EntryServices,
  request: IdentifiedRequest,
  upstream: UpstreamView,
): Promise<AttemptOutcome | RequestResult> {
  const { quarantine } = services;
  const content = request.contentDigest;
  const service = request.service.name;
  const { agent, incarnation } = upstream.announcement;
  const status = quarantine.statusOf(request.traits);
  if (status.kind === 'quarantined') {
    // Upstreams may have crashed since the request was admitted.
    const retryAfterSeconds = toRetryAfterSeconds(status.until - services.time.now());
    return refusal(ResultCode.Quarantined, 'not-run', { retryAfterSeconds });
  }
  const needsGrant = status.kind === 'suspect';
  if (needsGrant) {
    const timeoutMilliseconds = Math.max(1, request.deadlineAt - services.time.now());
    const reply = await quarantine.admit(service, { content, agent, timeoutMilliseconds });
    if (reply.kind === 'busy') return refusal(ResultCode.Overloaded, 'not-run');
    if (reply.kind === 'quarantined') {
      const retryAfterSeconds = toRetryAfterSeconds(reply.retryAfterMilliseconds);
      return refusal(ResultCode.Quarantined, 'not-run', { retryAfterSeconds });
    }
  }
  const outcome = await runAttempt(services, request, upstream);
  const isCrash = outcome.kind === 'failed' && outcome.crash !== 'none';
  if (isCrash && !request.caller.disconnected.aborted)
    await quarantine.report({ ...request.traits, agent: incarnation, granted: needsGrant });
  if (outcome.kind === 'whole') quarantine.recordCompletion(request.traits);
  if (needsGrant) quarantine.release(service, content);
  return outcome;
}

/** Combines the run state of a result with that of the request's earlier attempts. */
function withEarlierRunState(result: RequestResult, progress: RepeatableProgress): RequestResult {
  return { ...result, run: combineRunStates(result.run, progress.run) };
}

/** Runs a repeatable request, with retries within its deadline and the retry budget. */
export async function runRepeatable(
  services: EntryServices,
  request: IdentifiedRequest,
): Promise<RequestResult> {
  services.retryBudget.recordRequest(request.service.name);
  let progress: RepeatableProgress = { excluded: new Set(), attempts: 0, run: 'not-run' };
  for (;;) {
    const upstream = chooseUpstream(services, request, progress.excluded);
    if (upstream === undefined) return finalRefusal(request, progress);
    const stopResult = findStopResult(services, request, progress);
    if (stopResult !== null) return stopResult;
    const outcome = await runWithQuarantine(services, request, upstream);
    if (outcome.kind === 'refused') return withEarlierRunState(outcome, progress);
    if (outcome.kind === 'relayed') return outcome;
    if (outcome.kind === 'whole') return { kind: 'relayed', code: ResultCode.Ok, run: 'ran' };
    if (request.caller.headSent) {
      const code = callerCode(outcome.code);
      request.caller.abort(errorEvent(refusal(code, 'ran', { detail: outcome.detail })));
      return { kind: 'relayed', code, run: 'ran' };
    }
    progress = withFailure(progress, upstream.announcement.agent, outcome);
    const isDisconnected = request.caller.disconnected.aborted;
    if (isDisconnected || !retryableCodes.has(outcome.code)) return finalRefusal(request, progress);
  }
}
