import { get } from 'node:http';
import { text } from 'node:stream/consumers';
import { ResultError, toResultError } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { formatAddress, type Address } from '@burdockrail/protocol/protocolAddress.js';

/** Time for one page of one entry, in milliseconds. */
const PAGE_TIMEOUT_MILLISECONDS = 5_000;

/** A page of an entry. */
export interface EntryAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
  readonly body: string;
}

/** Reads a page; rejects with `ConnectionLost` when the entry does not answer. */
export async function readPage(
  address: Address,
  path: string,
  headers: Readonly<Record<string, string>> = {},
): Promise<EntryAnswer> {
  try {
    return await exchange(address, path, headers);
  } catch (error) {
    throw toResultError(error, ResultCode.ConnectionLost);
  }
}

/** Reads a page from the first entry that answers. */
export async function readFirstPage(
  addresses: readonly Address[],
  path: string,
  headers: Readonly<Record<string, string>> = {},
): Promise<EntryAnswer> {
  const failures: string[] = [];
  for (const address of addresses) {
    try {
      return await readPage(address, path, headers);
    } catch (error) {
      failures.push(
        `${formatAddress(address)}: ${toResultError(error, ResultCode.ConnectionLost).message}`,
      );
    }
  }
  throw new ResultError(ResultCode.ProcessesUnreachable, failures.join('; '));
}

async function exchange(
  address: Address,
  path: string,
  headers: Readonly<Record<string, string>>,
): Promise<EntryAnswer> {
  return new Promise((resolve, reject) => {
    const request = get({
      host: address.host,
      port: address.port,
      path,
      headers,
      agent: false,
      signal: AbortSignal.timeout(PAGE_TIMEOUT_MILLISECONDS),
    });
    request.on('error', reject);
    request.on('response', (response) => {
      text(response).then((body) => {
        resolve({ status: response.statusCode ?? 0, headers: response.headers, body });
      }, reject);
    });
  });
}
