import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { FleetConfiguration } from '@burdockrail/fleet/fleetConfiguration.js';
import type { ClaimAnswer } from '@burdockrail/ledger/claimSession.js';
import type { StoredAnswer } from '@burdockrail/protocol/protocolAttempt.js';
import type { EntryServices } from './entryServices.js';
import { wallClock } from './ledgerClient.js';
import { isNotKept, runClaimSession, storedCode } from './ledgerSession.js';
import { answerHeaderNames, answerRefusal } from './requestAnswer.js';
import type { RequestCaller } from './requestCaller.js';
import { requestHeaderNames } from './requestIdentify.js';
import { refused, type RefusedResult } from './requestTypes.js';
import type { IncomingMessage } from 'node:http';

/** Path below which outcomes are asked for by idempotency key. */
export const OUTCOMES_PATH = '/v1/outcomes/';

/** Bound on the whole question, in milliseconds. */
const OUTCOME_TIMEOUT_MILLISECONDS = 5_000;

/** Seconds after which a key told as `not-run` may be sent again. */
const DECLINED_RETRY_SECONDS = 2;

/** What an outcome is asked for. */
interface OutcomeQuestion {
  readonly team: string;
  readonly service: string;
  readonly home: string;
  readonly key: string;
}

function readQuestion(
  message: IncomingMessage,
  fleet: FleetConfiguration | undefined,
): OutcomeQuestion | RefusedResult {
  const url = new URL(message.url ?? '/', 'http://entry');
  const key = decodeURIComponent(url.pathname.slice(OUTCOMES_PATH.length));
  const team = message.headers[requestHeaderNames.team];
  const name = url.searchParams.get('service');
  const service = fleet?.services.find((candidate) => candidate.name === name);
  const isKnownTeam = fleet?.teams.some((candidate) => candidate.name === team) === true;
  if (service === undefined) return refused(ResultCode.UnknownService, 'unknown');
  if (typeof team !== 'string' || !isKnownTeam) return refused(ResultCode.UnknownTeam, 'unknown');
  return { team, service: service.name, home: service.home, key };
}

/** An outcome without its answer, as a refusal that names what is known. */
function outcomeRefusal(answer: Extract<ClaimAnswer, { readonly kind: 'refused' }>): RefusedResult {
  if (answer.run !== 'not-run') return refused(answer.code, answer.run);
  const retryAfterSeconds = DECLINED_RETRY_SECONDS;
  return refused(ResultCode.AttemptNeverStarted, 'not-run', { retryAfterSeconds });
}

function answerOutcome(
  caller: RequestCaller,
  question: OutcomeQuestion,
  answer: StoredAnswer,
): void {
  const { team, service, key } = question;
  const body = isNotKept(answer) ? null : Buffer.from(answer.body ?? []).toString('utf8');
  const { status, headers } = answer;
  const document = { team, service, key, run: 'ran', answer: { status, headers, body } };
  caller.answer(
    200,
    {
      'content-type': 'application/json',
      [answerHeaderNames.result]: String(storedCode(answer)),
      [answerHeaderNames.run]: 'ran',
    },
    JSON.stringify(document),
  );
}

/** Answers the question after the outcome of a non-repeatable request. */
export async function answerOutcomeQuestion(
  services: EntryServices,
  fleet: FleetConfiguration | undefined,
  message: IncomingMessage,
  caller: RequestCaller,
): Promise<void> {
  const question = readQuestion(message, fleet);
  if ('kind' in question) {
    answerRefusal(caller, question);
    return;
  }
  const { team, service, key, home } = question;
  const answer = await runClaimSession(
    {
      home,
      ledger: services.ledger,
      client: services.client,
      background: services.background,
      timeoutMilliseconds: OUTCOME_TIMEOUT_MILLISECONDS,
      choose: () => null,
      run: async () => Promise.reject(new Error('a question runs nothing')),
    },
    { key: { team, service, key }, keyed: true, digest: null, receivedAt: wallClock.now() },
  );
  if (answer.kind === 'refused') answerRefusal(caller, outcomeRefusal(answer));
  else answerOutcome(caller, question, answer.answer);
}
