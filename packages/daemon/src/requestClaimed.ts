import { randomUUID } from 'node:crypto';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { ClaimAnswer, ClaimRequest } from '@burdockrail/ledger/claimSession.js';
import type { UpstreamView } from '@burdockrail/membership/upstreamDirectory.js';
import type { StoredAnswer } from '@burdockrail/protocol/protocolAttempt.js';
import type { ClaimedAttempt } from '@burdockrail/protocol/protocolLedger.js';
import type { EntryServices } from './entryServices.js';
import { createAnswerKeeper, replayedHeaders, teeSinks } from './ledgerAnswer.js';
import { wallClock } from './ledgerClient.js';
import { runClaimSession, type ClaimedRun } from './ledgerSession.js';
import { attemptStart, createAttemptId, type AttemptFailure } from './requestAttempt.js';
import { createAnswerRelay, cutNotice } from './requestRelay.js';
import { callerCode } from './requestCodes.js';
import { chooseUpstream } from './requestRoute.js';
import { refused, type IdentifiedRequest, type RequestResult } from './requestTypes.js';

/**
 * Seconds after which a keyed request told as `not-run` may be sent again: before that the ledger
 * still takes it for one that arrived with the sending that was refused.
 */
const DECLINED_RETRY_SECONDS = 2;

function claimRequestOf(request: IdentifiedRequest): ClaimRequest {
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

function claimedAttempt({ announcement }: UpstreamView): ClaimedAttempt {
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
  view: UpstreamView,
): Promise<ClaimedRun> {
  const { attemptId, address, agent, agentIncarnation } = attempt;
  const keeper = createAnswerKeeper();
  const relay = createAnswerRelay(request.caller, agent);
  const ended = services.router.beginAttempt(view, request.prefixes);
  const outcome = await services.attempts.run(
    {
      attemptId,
      address,
      start: attemptStart(request, attemptId, services.time.now(), agentIncarnation),
      failsOnServerError: false,
    },
    teeSinks(keeper, relay),
  );
  services.metrics.attempt(request.service.name, outcome.kind);
  ended(outcome.kind === 'whole' ? 'succeeded' : 'failed', services.time.now());
  if (outcome.kind === 'whole') return { kind: 'answered', answer: keeper.answer };
  if (outcome.crash === 'certain' && request.idempotencyKey === undefined) {
    await services.quarantine.report({ content: request.contentDigest, agent, granted: false });
  }
  return { kind: 'failed', failure: failureOf(outcome) };
}

function failureOf({ code, detail, sent }: AttemptFailure) {
  return { code: callerCode(code), detail, sent };
}

function replay(request: IdentifiedRequest, answer: StoredAnswer): RequestResult {
  if (answer.body === undefined) return refused(ResultCode.ClaimOutcomeNotKept, 'ran');
  request.caller.answer(answer.status, replayedHeaders(answer), answer.body);
  return { kind: 'relayed', code: ResultCode.Ok, run: 'ran' };
}

type AnswerHandlers = {
  readonly [Kind in ClaimAnswer['kind']]: (
    request: IdentifiedRequest,
    answer: Extract<ClaimAnswer, { readonly kind: Kind }>,
  ) => RequestResult;
};

/** How the answers of a session reach the caller. */
const answerHandlers: AnswerHandlers = {
  relayed: () => ({ kind: 'relayed', code: ResultCode.Ok, run: 'ran' }),
  replayed: (request, { answer }) => replay(request, answer),
  refused: (_request, { code, run, detail }) =>
    refused(code, run, detail === undefined ? {} : { detail }),
};

/** Ends an answer of which parts were sent, and which no other can replace. */
function cutBegun(request: IdentifiedRequest, answer: ClaimAnswer): RequestResult {
  const isRefused = answer.kind === 'refused';
  const code = isRefused ? answer.code : ResultCode.AnswerIncomplete;
  const run = isRefused ? answer.run : 'ran';
  request.caller.cut(cutNotice(refused(code, run)));
  return { kind: 'relayed', code, run };
}

/** Runs a request that may run at most once, under a claim in the ledger of its service's home. */
export async function runClaimed(
  services: EntryServices,
  request: IdentifiedRequest,
): Promise<RequestResult> {
  const views = new Map<string, UpstreamView>();
  const answer = await runClaimSession(
    {
      home: request.service.home,
      ledger: services.ledger,
      client: services.client,
      background: services.background,
      timeoutMilliseconds: Math.max(0, request.deadlineAt - services.time.now()),
      choose: (excluded) => {
        const view = chooseUpstream(services, request, new Set(excluded));
        if (view === undefined) return null;
        const attempt = claimedAttempt(view);
        views.set(attempt.attemptId, view);
        return attempt;
      },
      run: async (attempt) => {
        const view = views.get(attempt.attemptId);
        if (view === undefined) throw new Error('no such attempt');
        return runAttempt(services, request, attempt, view);
      },
    },
    claimRequestOf(request),
  );
  if (request.caller.begun && answer.kind !== 'relayed') return cutBegun(request, answer);
  const handler = answerHandlers[answer.kind] as (
    request: IdentifiedRequest,
    answer: ClaimAnswer,
  ) => RequestResult;
  return withRetryTime(request, handler(request, answer));
}

function withRetryTime(request: IdentifiedRequest, result: RequestResult): RequestResult {
  const isDeclined = result.kind === 'refused' && result.run === 'not-run';
  if (!isDeclined || request.idempotencyKey === undefined) return result;
  return { ...result, retryAfterSeconds: DECLINED_RETRY_SECONDS };
}
