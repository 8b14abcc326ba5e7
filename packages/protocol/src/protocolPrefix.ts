import { digestOf } from '@burdockrail/common/digest.js';

/** Characters of prompt text in one block of a prefix. */
export const PREFIX_BLOCK_CHARACTERS = 256;

/** Maximum number of blocks of a prompt that get a digest; later blocks are ignored. */
export const MAXIMUM_PREFIX_BLOCKS = 32;

/** Length to which a prefix digest is truncated, in hexadecimal digits. */
const PREFIX_DIGEST_CHARACTERS = 16;

/**
 * Digests of the prefixes of a prompt that end at a block boundary, shortest first.
 *
 * @remarks
 * Each digest covers the previous digest and one more block, so two prompts share a digest exactly
 * when they are equal up to the end of that block. Engine cache events and routing both identify
 * prefixes by these digests.
 */
export function promptPrefixDigests(prompt: string): readonly string[] {
  const blockCount = Math.min(
    Math.floor(prompt.length / PREFIX_BLOCK_CHARACTERS),
    MAXIMUM_PREFIX_BLOCKS,
  );
  const digests: string[] = [];
  let previousDigest = '';
  for (let block = 0; block < blockCount; block += 1) {
    const start = block * PREFIX_BLOCK_CHARACTERS;
    const blockText = prompt.slice(start, start + PREFIX_BLOCK_CHARACTERS);
    previousDigest = digestOf(`${previousDigest}\n${blockText}`).slice(0, PREFIX_DIGEST_CHARACTERS);
    digests.push(previousDigest);
  }
  return digests;
}

/** Extracts the prompt text of a chat or completion request; engines cache its prefixes. */
export function promptTextOf(body: unknown): string {
  if (body === null || typeof body !== 'object') return '';
  if ('prompt' in body && typeof body.prompt === 'string') return body.prompt;
  if (!('messages' in body) || !Array.isArray(body.messages)) return '';
  return body.messages.map(chatMessageText).join('\n');
}

function chatMessageText(message: unknown): string {
  if (message === null || typeof message !== 'object') return '';
  const role = 'role' in message && typeof message.role === 'string' ? message.role : '';
  const content = 'content' in message ? message.content : '';
  const text = typeof content === 'string' ? content : JSON.stringify(content);
  return `${role}: ${text}`;
}
