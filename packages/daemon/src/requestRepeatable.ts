import { ResultCode, type RunState } from '@burdockrail/common/resultCode.js';
import type { RetryBudget } from '@burdockrail/limits/retryBudget.js';
import type { EntryServices } from './entryServices.js';
import { attemptStart, createAttemptId, type AttemptFailure } from './requestAttempt.js';
import { callerCode, joinRuns, retryableCodes } from './requestCodes.js';
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

function mayRetry(budget: RetryBudget, progress: RepeatableProgress): boolean {
  return progress.attempts === 0 || budget.trySpend();
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

/** Runs a request that may run more than once, within its deadline and the retry budget. */
export async function runRepeatable(
  services: EntryServices,
  request: IdentifiedRequest,
): Promise<RequestResult> {
  services.retryBudget.deposit();
  let progress: RepeatableProgress = { excluded: new Set(), attempts: 0, run: 'not-run' };
  for (;;) {
    const now = services.time.now();
    if (now >= request.deadlineAt) return refused(ResultCode.DeadlineExceeded, progress.run);
    const view = chooseUpstream(services, request, progress.excluded);
    if (view === undefined) return nothingToTry(request, progress);
    if (!mayRetry(services.retryBudget, progress)) {
      const { detail } = progress.lastFailure ?? {};
      return refused(
        ResultCode.RetryBudgetSpent,
        progress.run,
        detail === undefined ? {} : { detail },
      );
    }
    const { agent, address } = view.announcement;
    const attemptId = createAttemptId();
    const relay = createAnswerRelay(request.caller, agent);
    const ended = services.router.begin(view, request.prefixes);
    const outcome = await services.attempts.run(
      {
        attemptId,
        address,
        start: attemptStart(request, attemptId, now),
        signal: request.caller.gone,
        failsOnServerError: true,
      },
      relay,
    );
    services.metrics.attempt(request.service.name, outcome.kind);
    if (outcome.kind === 'whole') {
      ended('succeeded', services.time.now());
      return { kind: 'relayed', code: ResultCode.Ok, run: 'ran' };
    }
    const callerLeft = request.caller.gone.aborted;
    const blamed = !callerLeft && outcome.code !== ResultCode.DeadlineExceeded;
    ended(blamed ? 'failed' : 'neutral', services.time.now());
    if (request.caller.begun) {
      const code = callerCode(outcome.code);
      request.caller.cut(cutNotice(refused(code, 'ran', { detail: outcome.detail })));
      return { kind: 'relayed', code, run: 'ran' };
    }
    progress = afterFailure(progress, agent, outcome);
    if (callerLeft || !retryableCodes.has(outcome.code)) return nothingToTry(request, progress);
  }
}
