import { digestOf } from '@burdockrail/common/digest.js';

/** Characters of prompt text in one block of a prefix. */
export const PREFIX_BLOCK_CHARACTERS = 256;

/** Blocks of a prompt that are taken into account; later ones change nothing. */
export const PREFIX_BLOCK_LIMIT = 32;

/** Hexadecimal digits kept of a prefix digest. */
const PREFIX_DIGEST_LENGTH = 16;

/**
 * Digests of the prefixes of a prompt that end at a block boundary, the shortest first.
 *
 * @remarks
 * Each digest covers the digest before it and one more block, so two prompts have a digest in
 * common exactly when they agree up to the end of that block. Cache events of engines and routing
 * both use these names.
 */
export function promptPrefixDigests(prompt: string): readonly string[] {
  const blocks = Math.min(Math.floor(prompt.length / PREFIX_BLOCK_CHARACTERS), PREFIX_BLOCK_LIMIT);
  const digests: string[] = [];
  let previous = '';
  for (let block = 0; block < blocks; block += 1) {
    const start = block * PREFIX_BLOCK_CHARACTERS;
    const text = prompt.slice(start, start + PREFIX_BLOCK_CHARACTERS);
    previous = digestOf(`${previous}\n${text}`).slice(0, PREFIX_DIGEST_LENGTH);
    digests.push(previous);
  }
  return digests;
}

/** Text of a chat or completion request whose prefixes engines cache. */
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
