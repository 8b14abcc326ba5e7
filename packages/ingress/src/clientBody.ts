import type { IncomingMessage } from 'node:http';
import { createByteCollector } from '@burdockrail/common/byteCollector.js';
import type { ClientExchange } from './clientServer.js';

/** Rest of a refused body that is read, so that its connection can be used again, in bytes. */
const MAXIMUM_DROPPED_BYTES = 256 * 1024;

/** Why the body of a request is not there. */
export type BodyFailure = 'tooLarge' | 'noMemory' | 'aborted';

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
 * Reads the body of a request within the memory of all clients.
 *
 * @remarks
 * A body that is not kept is read on as long as that is little; the connection of another one can't
 * be used again (`ClientExchange.endsInput`).
 *
 * @param maximumBytes - 0 for a request that is refused whatever its body.
 */
export async function readClientBody(
  { request, account, input, guard, time }: ClientExchange,
  maximumBytes: number,
): Promise<ClientBody> {
  if (!hasBody(request)) return { kind: 'whole', bytes: null };
  if (announcedBytes(request) > maximumBytes + MAXIMUM_DROPPED_BYTES) return { kind: 'tooLarge' };
  return new Promise((resolve) => {
    const collector = createByteCollector({
      maximumBytes,
      budget: {
        tryReserve: (bytes) => account.tryReserve(bytes, time.now()),
        release: (bytes) => {
          account.release(bytes);
        },
      },
    });
    let receivedBytes = 0;
    let failure: BodyFailure | null = null;
    let hasPlace = false;
    const settle = (body: ClientBody): void => {
      request.off('data', receive);
      request.off('end', end);
      request.off('close', abort);
      collector.close();
      account.setEviction(null);
      if (hasPlace) guard.smallPartBodies.giveBack();
      hasPlace = false;
      resolve(body);
    };
    const receive = (bytes: Buffer): void => {
      receivedBytes += bytes.length;
      account.progressed(time.now());
      input.bodyPartReceived(bytes.length);
      if (input.hasSmallParts && !hasPlace) {
        hasPlace = guard.smallPartBodies.tryTake();
        if (!hasPlace) {
          settle({ kind: 'noMemory' });
          return;
        }
      }
      if (failure === null && !collector.add(bytes)) {
        failure = receivedBytes > maximumBytes ? 'tooLarge' : 'noMemory';
      }
      if (failure === 'noMemory' || receivedBytes > maximumBytes + MAXIMUM_DROPPED_BYTES)
        settle({ kind: failure ?? 'tooLarge' });
    };
    const end = (): void => {
      if (failure !== null) {
        settle({ kind: failure });
        return;
      }
      const body = collector.take();
      // It is held until the request has been answered.
      account.reserve(body.length, time.now());
      settle({ kind: 'whole', bytes: body });
    };
    const abort = (): void => {
      settle({ kind: 'aborted' });
    };
    account.setEviction(() => {
      settle({ kind: 'noMemory' });
    });
    request.on('data', receive);
    request.once('end', end);
    request.once('close', abort);
  });
}
