import { randomUUID } from 'node:crypto';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { ClaimAnswer, ClaimRequest } from '@burdockrail/ledger/claimSession.js';
import type { UpstreamView } from '@burdockrail/membership/upstreamDirectory.js';
import type { StoredAnswer } from '@burdockrail/protocol/protocolAttempt.js';
import type { ClaimedAttempt } from '@burdockrail/protocol/protocolLedger.js';
import type { EntryServices } from './entryServices.js';
import { createAnswerRecorder, replayHeaders, teeSinks } from './ledgerAnswer.js';
import { wallClock } from './ledgerClient.js';
import { runClaimSession, type ClaimedAttemptResult } from './ledgerSession.js';
import { createAttemptStart, createAttemptId, type AttemptFailure } from './requestAttempt.js';
import { createAnswerRelay, errorEvent } from './requestRelay.js';
import { callerCode } from './requestCodes.js';
import { chooseUpstream } from './requestRoute.js';
import { refusal, type IdentifiedRequest, type RequestResult } from './requestTypes.js';

/**
 * Seconds after which a keyed request that was answered with `not-run` may be sent again. The
 * ledger treats one that arrives earlier as a concurrent duplicate of the refused request.
 */
const DECLINED_RETRY_AFTER_SECONDS = 2;

function createClaimRequest(request: IdentifiedRequest): ClaimRequest {
  const { idempotencyKey } = request;
  return {
    key: {
      team: request.team.name,
      service: request.service.name,
      key: idempotencyKey ?? `generated-${randomUUID()}`,
    },
    keyed: idempotencyKey !== undefined,
    digest: request.contentDigest,
    receivedAt: wallClock.now(),
  };
}

function createClaimedAttempt({ announcement }: UpstreamView): ClaimedAttempt {
  return {
    attemptId: createAttemptId(),
    agent: announcement.agent,
    agentIncarnation: announcement.incarnation,
    address: announcement.address,
  };
}

async function runAttempt(
  services: EntryServices,
  request: IdentifiedRequest,
  attempt: ClaimedAttempt,
  upstream: UpstreamView,
): Promise<ClaimedAttemptResult> {
  const { attemptId, address, agent, agentIncarnation } = attempt;
  const recorder = createAnswerRecorder();
  const relay = createAnswerRelay(request.caller, agent);
  const endAttempt = services.router.beginAttempt(upstream, request.prefixes);
  const outcome = await services.attempts.run(
    {
      attemptId,
      address,
      start: createAttemptStart(request, attemptId, services.time.now(), agentIncarnation),
      failsOnServerError: false,
    },
    teeSinks(recorder, relay),
  );
  services.metrics.recordAttempt(request.service.name, outcome.kind);
  endAttempt(outcome.kind === 'whole' ? 'succeeded' : 'failed', services.time.now());
  if (outcome.kind === 'whole') {
    services.quarantine.recordCompletion(request.traits);
    return { kind: 'answered', answer: recorder.answer };
  }
  if (outcome.crash === 'certain') {
    await services.quarantine.report({
      ...request.traits,
      agent: agentIncarnation,
      granted: false,
    });
  }
  return { kind: 'failed', failure: toClaimFailure(outcome) };
}

function toClaimFailure({ code, detail, sent }: AttemptFailure) {
  return { code: callerCode(code), detail, sent };
}

function replay(request: IdentifiedRequest, answer: StoredAnswer): RequestResult {
  if (answer.body === undefined) return refusal(ResultCode.ClaimOutcomeNotKept, 'ran');
  request.caller.sendAnswer(answer.status, replayHeaders(answer), answer.body);
  return { kind: 'relayed', code: ResultCode.Ok, run: 'ran' };
}

type AnswerHandlers = {
  readonly [Kind in ClaimAnswer['kind']]: (
    request: IdentifiedRequest,
    answer: Extract<ClaimAnswer, { readonly kind: Kind }>,
  ) => RequestResult;
};

/** Sends the answer of a claim session to the caller, by kind. */
const answerHandlers: AnswerHandlers = {
  relayed: () => ({ kind: 'relayed', code: ResultCode.Ok, run: 'ran' }),
  replayed: (request, { answer }) => replay(request, answer),
  refused: (_request, { code, run, detail }) =>
    refusal(code, run, detail === undefined ? {} : { detail }),
};

/** Aborts an answer whose first parts were sent, because no other can replace it. */
function abortAnswer(request: IdentifiedRequest, answer: ClaimAnswer): RequestResult {
  const isRefused = answer.kind === 'refused';
  const code = isRefused ? answer.code : ResultCode.AnswerIncomplete;
  const run = isRefused ? answer.run : 'ran';
  request.caller.abort(errorEvent(refusal(code, run)));
  return { kind: 'relayed', code, run };
}

/** Runs a non-repeatable request under a claim in the ledger of its service's home. */
export async function runClaimed(
  services: EntryServices,
  request: IdentifiedRequest,
): Promise<RequestResult> {
  const { retryBudget } = services;
  const service = request.service.name;
  const upstreamsByAttempt = new Map<string, UpstreamView>();
  let sentAttempts = 0;
  let takenRetries = 0;
  /** Takes a retry for an attempt after others that were sent; false when none is left. */
  const takeRetry = (): boolean => {
    if (sentAttempts <= takenRetries) return true;
    if (!retryBudget.trySpend(service)) return false;
    takenRetries = sentAttempts;
    return true;
  };
  retryBudget.recordRequest(service);
  const answer = await runClaimSession(
    {
      home: request.service.home,
      ledger: services.ledger,
      client: services.client,
      backgroundTasks: services.backgroundTasks,
      timeoutMilliseconds: Math.max(0, request.deadlineAt - services.time.now()),
      choose: (excluded) => {
        const upstream = chooseUpstream(services, request, new Set(excluded));
        if (upstream === undefined || !takeRetry()) return null;
        const attempt = createClaimedAttempt(upstream);
        upstreamsByAttempt.set(attempt.attemptId, upstream);
        return attempt;
      },
      run: async (attempt) => {
        const upstream = upstreamsByAttempt.get(attempt.attemptId);
        if (upstream === undefined) throw new Error('attempt not chosen by this session');
        const result = await runAttempt(services, request, attempt, upstream);
        if (result.kind === 'answered' || result.failure.sent) sentAttempts += 1;
        return result;
      },
    },
    createClaimRequest(request),
  );
  if (request.caller.headSent && answer.kind !== 'relayed') return abortAnswer(request, answer);
  const handler = answerHandlers[answer.kind] as (
    request: IdentifiedRequest,
    answer: ClaimAnswer,
  ) => RequestResult;
  return withRetryAfter(request, handler(request, answer));
}

function withRetryAfter(request: IdentifiedRequest, result: RequestResult): RequestResult {
  const isDeclined = result.kind === 'refused' && result.run === 'not-run';
  if (!isDeclined || request.idempotencyKey === undefined) return result;
  return { ...result, retryAfterSeconds: DECLINED_RETRY_AFTER_SECONDS };
}
