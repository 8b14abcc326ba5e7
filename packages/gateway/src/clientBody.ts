import type { IncomingMessage } from 'node:http';
import { createByteCollector } from '@burdockrail/common/byteCollector.js';
import type { ClientExchange } from './clientServer.js';

/** Rest of a refused body that is read, so that its connection can be used again, in bytes. */
const MAXIMUM_DROPPED_BYTES = 256 * 1024;

/** Why the body of a request is not there. */
export type BodyFailure = 'tooLarge' | 'aborted';

/** The body of a request; `null` if it has none. */
export type ClientBody =
  { readonly kind: 'whole'; readonly bytes: Buffer | null } | { readonly kind: BodyFailure };

/** Returns whether a request has a body of which some is missing. */
export function isBodyPending(request: IncomingMessage): boolean {
  return hasBody(request) && !request.complete;
}

function hasBody({ headers }: IncomingMessage): boolean {
  const length = headers['content-length'];
  return headers['transfer-encoding'] !== undefined || (length !== undefined && length !== '0');
}

function announcedBytes({ headers }: IncomingMessage): number {
  return Number(headers['content-length'] ?? 0);
}

/**
 * Reads the body of a request.
 *
 * @remarks
 * A body that is not kept is read on as long as that is little; the connection of another one can't
 * be used again (`ClientExchange.endsInput`).
 *
 * @param maximumBytes - 0 for a request that is refused whatever its body.
 */
export async function readClientBody(
  { request, input }: ClientExchange,
  maximumBytes: number,
): Promise<ClientBody> {
  if (!hasBody(request)) return { kind: 'whole', bytes: null };
  if (announcedBytes(request) > maximumBytes + MAXIMUM_DROPPED_BYTES) return { kind: 'tooLarge' };
  return new Promise((resolve) => {
    const collector = createByteCollector({ maximumBytes });
    let receivedBytes = 0;
    let isTooLarge = false;
    const settle = (body: ClientBody): void => {
      request.off('data', receive);
      request.off('end', end);
      request.off('close', abort);
      collector.close();
      resolve(body);
    };
    const receive = (bytes: Buffer): void => {
      receivedBytes += bytes.length;
      input.bodyPartReceived(bytes.length);
      if (!collector.add(bytes)) isTooLarge = true;
      if (receivedBytes > maximumBytes + MAXIMUM_DROPPED_BYTES) settle({ kind: 'tooLarge' });
    };
    const end = (): void => {
      settle(isTooLarge ? { kind: 'tooLarge' } : { kind: 'whole', bytes: collector.take() });
    };
    const abort = (): void => {
      settle({ kind: 'aborted' });
    };
    request.on('data', receive);
    request.once('end', end);
    request.once('close', abort);
  });
}
