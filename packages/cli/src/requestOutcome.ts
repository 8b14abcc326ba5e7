import type { Address } from '@burdockrail/protocol/protocolAddress.js';
import { readFirstPage } from './entryHttp.js';

/** What names a non-repeatable request. */
export interface OutcomeQuestion {
  readonly key: string;
  readonly service: string;
  readonly team: string;
}

/** What an entry says of a request. */
export interface RequestOutcome {
  /** Number of the result, or `-` when the entry gave none. */
  readonly result: string;
  readonly run: string;
  /** HTTP status of the stored answer, or of the refusal. */
  readonly status: number;
  readonly body: string;
}

/** Asks entries for the outcome of a request. */
export async function readOutcome(
  http: readonly Address[],
  { key, service, team }: OutcomeQuestion,
): Promise<RequestOutcome> {
  const path = `/v1/outcomes/${encodeURIComponent(key)}?service=${encodeURIComponent(service)}`;
  const answer = await readFirstPage(http, path, { 'burdockrail-team': team });
  return {
    result: headerOf(answer.headers['burdockrail-result']),
    run: headerOf(answer.headers['burdockrail-run']),
    status: answer.status,
    body: answer.body,
  };
}

function headerOf(value: string | readonly string[] | undefined): string {
  return typeof value === 'string' ? value : '-';
}
