import { createHash } from 'node:crypto';
import type { IncomingMessage } from 'node:http';

/** Longest name of a part of prompts that is kept as it is, in characters. */
const MAXIMUM_TRAIT_CHARACTERS = 128;

const DIGEST_CHARACTERS = 22;

/** Name of a part of a model's prompts; a digest of it if a caller has chosen long ones. */
export function promptTrait(model: string, part: string): string {
  const trait = `${model} ${part}`;
  if (trait.length <= MAXIMUM_TRAIT_CHARACTERS) return trait;
  return createHash('sha256').update(trait).digest('base64').slice(0, DIGEST_CHARACTERS);
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
  return digest.digest('base64').slice(0, DIGEST_CHARACTERS);
}
