import { createHash } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import { readBoundedBody } from '@burdockrail/common/boundedBody.js';

/** The body of a request exceeds the limit of the configuration. */
export class BodyTooLarge extends Error {}

/** Reads the body of a request; `null` if it has none. */
export async function readBody(request: IncomingMessage, limit: number): Promise<Buffer | null> {
  const { method, headers } = request;
  const hasBody =
    headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
  if (!hasBody) return null;
  const bytes = await readBoundedBody(request, { maximumBytes: limit });
  if (bytes === null) throw new BodyTooLarge(method);
  return bytes;
}

/** Digest of key, method, URL and body. */
export function digestRequest(
  key: string | null,
  request: IncomingMessage,
  body: Buffer | null,
): string {
  const digest = createHash('sha256')
    .update(
      `${key ?? ''}\n${request.method ?? ''}\n${request.headers.host ?? ''}${request.url ?? ''}\n`,
    )
    .update(body ?? '');
  return digest.digest('base64').slice(0, 22);
}
