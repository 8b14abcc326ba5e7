import { ResultError } from '@burdockrail/common/outcome.js';
import { ResultCode, resultName } from '@burdockrail/common/resultCode.js';
import type { Address } from '@burdockrail/protocol/protocolAddress.js';
import { fetchFromFirstEntry, type EntryResponse } from './entryHttp.js';

/** Identifies a non-repeatable request. */
export interface RequestKey {
  readonly key: string;
  readonly service: string;
  readonly team: string;
}

/** A known outcome of a request. */
export interface RequestOutcome extends RequestKey {
  readonly run: string;
  readonly result: ResultCode;
  /** Answer stored by the ledger; the body is `null` if it was too large to be stored. */
  readonly answer: {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string | null;
  };
}

const OK_STATUS = 200;

/**
 * Reads the outcome of a request from the first entry that answers.
 *
 * @remarks
 * Rejects with the result code of the entry if the outcome is unknown or not known yet.
 */
export async function readOutcome(
  http: readonly Address[],
  requestKey: RequestKey,
): Promise<RequestOutcome> {
  const { key, service, team } = requestKey;
  const path = `/v1/outcomes/${encodeURIComponent(key)}?service=${encodeURIComponent(service)}`;
  const response = await fetchFromFirstEntry(http, path, { 'burdockrail-team': team });
  if (response.status !== OK_STATUS) throw createResponseError(response);
  const document = JSON.parse(response.body) as Omit<RequestOutcome, 'result'>;
  return { ...document, result: readResultCode(response) };
}

/** Formats an outcome as text lines. */
export function outcomeLines({ run, result, answer }: RequestOutcome): readonly string[] {
  const resultText = `${result} ${resultName(result)}`;
  return [
    `run ${run}, result ${resultText}`,
    `stored answer: status ${answer.status}`,
    ...(answer.body === null ? ['its body was not stored'] : [answer.body.trimEnd()]),
  ];
}

const resultCodes = Object.values(ResultCode).filter((code) => typeof code === 'number');

function readResultCode({ headers }: EntryResponse): ResultCode {
  const header = headers['burdockrail-result'];
  return resultCodes.find((code) => String(code) === header) ?? ResultCode.InternalError;
}

function createResponseError(response: EntryResponse): ResultError {
  const code = readResultCode(response);
  const run = response.headers['burdockrail-run'];
  const runText = typeof run === 'string' ? run : 'unknown';
  return new ResultError(code, `${readErrorMessage(response.body)} (run: ${runText})`);
}

function readErrorMessage(body: string): string {
  try {
    const { error } = JSON.parse(body) as { readonly error?: { readonly message?: string } };
    return error?.message ?? body;
  } catch {
    return body.trim();
  }
}
