import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { FleetConfiguration } from '@burdockrail/fleet/fleetConfiguration.js';
import type { ClaimAnswer } from '@burdockrail/ledger/claimSession.js';
import type { StoredAnswer } from '@burdockrail/protocol/protocolAttempt.js';
import type { EntryServices } from './entryServices.js';
import { wallClock } from './ledgerClient.js';
import { isBodyMissing, runClaimSession, resultCodeOf } from './ledgerSession.js';
import { answerHeaderNames, answerRefusal } from './requestAnswer.js';
import type { RequestCaller } from './requestCaller.js';
import { requestHeaderNames } from './requestIdentify.js';
import { refusal, type RefusedResult } from './requestTypes.js';
import type { IncomingMessage } from 'node:http';

/** Path prefix of outcome queries; the idempotency key follows it. */
export const OUTCOMES_PATH = '/v1/outcomes/';

/** Timeout of an outcome query, in milliseconds. */
const OUTCOME_TIMEOUT_MILLISECONDS = 5_000;

/** Seconds after which a request whose key was answered with `not-run` may be sent again. */
const DECLINED_RETRY_AFTER_SECONDS = 2;

/** Query for the outcome of a non-repeatable request. */
interface OutcomeQuery {
  readonly team: string;
  readonly service: string;
  readonly home: string;
  readonly key: string;
}

function parseQuery(
  message: IncomingMessage,
  fleet: FleetConfiguration | undefined,
): OutcomeQuery | RefusedResult {
  const url = new URL(message.url ?? '/', 'http://entry');
  const key = decodeURIComponent(url.pathname.slice(OUTCOMES_PATH.length));
  const team = message.headers[requestHeaderNames.team];
  const name = url.searchParams.get('service');
  const service = fleet?.services.find((candidate) => candidate.name === name);
  const isKnownTeam = fleet?.teams.some((candidate) => candidate.name === team) === true;
  if (service === undefined) return refusal(ResultCode.UnknownService, 'unknown');
  if (typeof team !== 'string' || !isKnownTeam) return refusal(ResultCode.UnknownTeam, 'unknown');
  return { team, service: service.name, home: service.home, key };
}

/** Converts an outcome without an answer to a refusal with the known run state. */
function outcomeRefusal(answer: Extract<ClaimAnswer, { readonly kind: 'refused' }>): RefusedResult {
  if (answer.run !== 'not-run') return refusal(answer.code, answer.run);
  const retryAfterSeconds = DECLINED_RETRY_AFTER_SECONDS;
  return refusal(ResultCode.AttemptNeverStarted, 'not-run', { retryAfterSeconds });
}

function answerOutcome(caller: RequestCaller, query: OutcomeQuery, answer: StoredAnswer): void {
  const { team, service, key } = query;
  const body = isBodyMissing(answer) ? null : Buffer.from(answer.body ?? []).toString('utf8');
  const { status, headers } = answer;
  const document = { team, service, key, run: 'ran', answer: { status, headers, body } };
  caller.sendAnswer(
    200,
    {
      'content-type': 'application/json',
      [answerHeaderNames.result]: String(resultCodeOf(answer)),
      [answerHeaderNames.run]: 'ran',
    },
    JSON.stringify(document),
  );
}

/** Answers a query for the outcome of a non-repeatable request. */
export async function answerOutcomeQuery(
  services: EntryServices,
  fleet: FleetConfiguration | undefined,
  message: IncomingMessage,
  caller: RequestCaller,
): Promise<void> {
  const query = parseQuery(message, fleet);
  if ('kind' in query) {
    answerRefusal(caller, query);
    return;
  }
  const { team, service, key, home } = query;
  const answer = await runClaimSession(
    {
      home,
      ledger: services.ledger,
      client: services.client,
      backgroundTasks: services.backgroundTasks,
      timeoutMilliseconds: OUTCOME_TIMEOUT_MILLISECONDS,
      choose: () => null,
      run: async () => Promise.reject(new Error('an outcome query must not run an attempt')),
    },
    { key: { team, service, key }, keyed: true, digest: null, receivedAt: wallClock.now() },
  );
  if (answer.kind === 'refused') answerRefusal(caller, outcomeRefusal(answer));
  else answerOutcome(caller, query, answer.answer);
}
