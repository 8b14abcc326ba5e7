import { ResultCode, type RunState } from '@burdockrail/common/resultCode.js';
import type { UpstreamView } from '@burdockrail/membership/upstreamDirectory.js';
import type { EntryServices } from './entryServices.js';
import {
  attemptStart,
  createAttemptId,
  type AttemptFailure,
  type AttemptOutcome,
} from './requestAttempt.js';
import { callerCode, joinRuns, retryableCodes } from './requestCodes.js';
import { secondsUntil } from './requestQuarantine.js';
import { createAnswerRelay, cutNotice } from './requestRelay.js';
import { chooseUpstream } from './requestRoute.js';
import { refused, type IdentifiedRequest, type RequestResult } from './requestTypes.js';

/** What a repeatable request has been through. */
interface RepeatableProgress {
  readonly excluded: ReadonlySet<string>;
  readonly attempts: number;
  readonly run: RunState;
  readonly lastFailure?: AttemptFailure;
}

/** Result when no further upstream can be tried. */
function nothingToTry(request: IdentifiedRequest, progress: RepeatableProgress): RequestResult {
  const { lastFailure } = progress;
  if (lastFailure !== undefined) {
    return refused(callerCode(lastFailure.code), progress.run, { detail: lastFailure.detail });
  }
  const bound = request.versionDigest !== undefined;
  return refused(bound ? ResultCode.VersionUnavailable : ResultCode.NoUpstream, progress.run);
}

/** Why no further attempt is made; null when the next one may begin. */
function reasonToStop(
  services: EntryServices,
  request: IdentifiedRequest,
  progress: RepeatableProgress,
): RequestResult | null {
  if (services.time.now() >= request.deadlineAt) {
    return refused(ResultCode.DeadlineExceeded, progress.run);
  }
  if (progress.attempts === 0 || services.retryBudget.trySpend()) return null;
  const { detail } = progress.lastFailure ?? {};
  return refused(ResultCode.RetryBudgetSpent, progress.run, detail === undefined ? {} : { detail });
}

function afterFailure(
  progress: RepeatableProgress,
  agent: string,
  failure: AttemptFailure,
): RepeatableProgress {
  return {
    excluded: new Set([...progress.excluded, agent]),
    attempts: progress.attempts + 1,
    run: joinRuns(progress.run, failure.run),
    lastFailure: failure,
  };
}

/** Runs one attempt and tells routing and metrics how it ended. */
async function attemptAt(
  services: EntryServices,
  request: IdentifiedRequest,
  view: UpstreamView,
): Promise<AttemptOutcome> {
  const { agent, address } = view.announcement;
  const attemptId = createAttemptId();
  const ended = services.router.beginAttempt(view, request.prefixes);
  const outcome = await services.attempts.run(
    {
      attemptId,
      address,
      start: attemptStart(request, attemptId, services.time.now()),
      signal: request.caller.gone,
      failsOnServerError: true,
    },
    createAnswerRelay(request.caller, agent),
  );
  services.metrics.attempt(request.service.name, outcome.kind);
  const isBlamed =
    outcome.kind === 'failed' &&
    !request.caller.gone.aborted &&
    outcome.code !== ResultCode.DeadlineExceeded;
  const verdict = outcome.kind === 'whole' ? 'succeeded' : isBlamed ? 'failed' : 'neutral';
  ended(verdict, services.time.now());
  return outcome;
}

/** Runs one attempt of a content that may have crashed an upstream; null when it may not run. */
async function guardedAttempt(
  services: EntryServices,
  request: IdentifiedRequest,
  view: UpstreamView,
): Promise<AttemptOutcome | RequestResult> {
  const { quarantine } = services;
  const content = request.contentDigest;
  const service = request.service.name;
  const { agent } = view.announcement;
  const granted = quarantine.standing(content).kind !== 'clear';
  if (granted) {
    const timeoutMilliseconds = Math.max(1, request.deadlineAt - services.time.now());
    const reply = await quarantine.admit(service, { content, agent, timeoutMilliseconds });
    if (reply.kind === 'busy') return refused(ResultCode.Overloaded, 'not-run');
    if (reply.kind === 'quarantined') {
      const retryAfterSeconds = secondsUntil(reply.retryAfterMilliseconds);
      return refused(ResultCode.Quarantined, 'not-run', { retryAfterSeconds });
    }
  }
  const outcome = await attemptAt(services, request, view);
  const isCrash = outcome.kind === 'failed' && outcome.crash !== 'none';
  if (isCrash && !request.caller.gone.aborted) await quarantine.report({ content, agent, granted });
  if (outcome.kind === 'whole' && quarantine.standing(content).kind !== 'clear') {
    quarantine.clear(content);
  }
  if (granted) quarantine.release(service, content);
  return outcome;
}

/** A refusal together with what earlier attempts of the same request leave open. */
function withEarlierRuns(result: RequestResult, progress: RepeatableProgress): RequestResult {
  return { ...result, run: joinRuns(result.run, progress.run) };
}

/** Runs a request that may run more than once, within its deadline and the retry budget. */
export async function runRepeatable(
  services: EntryServices,
  request: IdentifiedRequest,
): Promise<RequestResult> {
  services.retryBudget.recordRequest();
  let progress: RepeatableProgress = { excluded: new Set(), attempts: 0, run: 'not-run' };
  for (;;) {
    const view = chooseUpstream(services, request, progress.excluded);
    if (view === undefined) return nothingToTry(request, progress);
    const stop = reasonToStop(services, request, progress);
    if (stop !== null) return stop;
    const outcome = await guardedAttempt(services, request, view);
    if (outcome.kind === 'refused') return withEarlierRuns(outcome, progress);
    if (outcome.kind === 'relayed') return outcome;
    if (outcome.kind === 'whole') return { kind: 'relayed', code: ResultCode.Ok, run: 'ran' };
    if (request.caller.begun) {
      const code = callerCode(outcome.code);
      request.caller.cut(cutNotice(refused(code, 'ran', { detail: outcome.detail })));
      return { kind: 'relayed', code, run: 'ran' };
    }
    progress = afterFailure(progress, view.announcement.agent, outcome);
    const hasCallerLeft = request.caller.gone.aborted;
    if (hasCallerLeft || !retryableCodes.has(outcome.code)) return nothingToTry(request, progress);
  }
}
