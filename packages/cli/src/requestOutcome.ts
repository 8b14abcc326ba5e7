import { ResultError } from '@burdockrail/common/outcome.js';
import { ResultCode, resultName } from '@burdockrail/common/resultCode.js';
import type { Address } from '@burdockrail/protocol/protocolAddress.js';
import { readFirstPage, type EntryAnswer } from './entryHttp.js';

/** What names a non-repeatable request. */
export interface OutcomeQuestion {
  readonly key: string;
  readonly service: string;
  readonly team: string;
}

/** A known outcome of a request. */
export interface RequestOutcome extends OutcomeQuestion {
  readonly run: string;
  readonly result: ResultCode;
  /** The answer that the ledger stored; its body is `null` when it was too large to be kept. */
  readonly answer: {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string | null;
  };
}

const OK_STATUS = 200;

/**
 * Asks entries for the outcome of a request.
 *
 * @remarks
 * Rejects with the number that the entry answered when the outcome is not, or not yet, known.
 */
export async function readOutcome(
  http: readonly Address[],
  question: OutcomeQuestion,
): Promise<RequestOutcome> {
  const { key, service, team } = question;
  const path = `/v1/outcomes/${encodeURIComponent(key)}?service=${encodeURIComponent(service)}`;
  const answer = await readFirstPage(http, path, { 'burdockrail-team': team });
  if (answer.status !== OK_STATUS) throw refusalOf(answer);
  const document = JSON.parse(answer.body) as Omit<RequestOutcome, 'result'>;
  return { ...document, result: resultOf(answer) };
}

/** Lines of an outcome for people. */
export function outcomeLines({ run, result, answer }: RequestOutcome): readonly string[] {
  const number = `${result} ${resultName(result)}`;
  return [
    `run ${run}, result ${number}`,
    `stored answer: status ${answer.status}`,
    ...(answer.body === null ? ['its body was not kept'] : [answer.body.trimEnd()]),
  ];
}

const knownCodes = Object.values(ResultCode).filter((code) => typeof code === 'number');

function resultOf({ headers }: EntryAnswer): ResultCode {
  const header = headers['burdockrail-result'];
  return knownCodes.find((code) => String(code) === header) ?? ResultCode.InternalError;
}

function refusalOf(answer: EntryAnswer): ResultError {
  const code = resultOf(answer);
  const run = answer.headers['burdockrail-run'];
  const runText = typeof run === 'string' ? run : 'unknown';
  return new ResultError(code, `${messageOf(answer.body)} (run: ${runText})`);
}

function messageOf(body: string): string {
  try {
    const { error } = JSON.parse(body) as { readonly error?: { readonly message?: string } };
    return error?.message ?? body;
  } catch {
    return body.trim();
  }
}
