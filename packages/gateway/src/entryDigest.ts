import { createHash } from 'node:crypto';
import type { IncomingMessage } from 'node:http';

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
