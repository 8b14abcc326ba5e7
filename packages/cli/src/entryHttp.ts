import { get } from 'node:http';
import { text } from 'node:stream/consumers';
import { ResultError, toResultError } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { formatAddress, type Address } from '@burdockrail/protocol/protocolAddress.js';

/** Timeout of one request to one entry. */
const REQUEST_TIMEOUT_MILLISECONDS = 5_000;

/** HTTP response of an entry. */
export interface EntryResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
  readonly body: string;
}

/** Sends a GET request to an entry; rejects with `ConnectionLost` if the entry does not answer. */
export async function fetchFromEntry(
  address: Address,
  path: string,
  headers: Readonly<Record<string, string>> = {},
): Promise<EntryResponse> {
  try {
    return await sendGetRequest(address, path, headers);
  } catch (error) {
    throw toResultError(error, ResultCode.ConnectionLost);
  }
}

/** Sends a GET request to the entries in order and returns the first response. */
export async function fetchFromFirstEntry(
  addresses: readonly Address[],
  path: string,
  headers: Readonly<Record<string, string>> = {},
): Promise<EntryResponse> {
  const failures: string[] = [];
  for (const address of addresses) {
    try {
      return await fetchFromEntry(address, path, headers);
    } catch (error) {
      failures.push(
        `${formatAddress(address)}: ${toResultError(error, ResultCode.ConnectionLost).message}`,
      );
    }
  }
  throw new ResultError(ResultCode.ProcessesUnreachable, failures.join('; '));
}

async function sendGetRequest(
  address: Address,
  path: string,
  headers: Readonly<Record<string, string>>,
): Promise<EntryResponse> {
  return new Promise((resolve, reject) => {
    const request = get({
      host: address.host,
      port: address.port,
      path,
      headers,
      agent: false,
      signal: AbortSignal.timeout(REQUEST_TIMEOUT_MILLISECONDS),
    });
    request.on('error', reject);
    request.on('response', (response) => {
      text(response).then((body) => {
        resolve({ status: response.statusCode ?? 0, headers: response.headers, body });
      }, reject);
    });
  });
}
