import { digestOf, type Digest } from '@burdockrail/common/digest.js';

/** Characters of prompt text in one block of the prefix cache. */
export const PREFIX_BLOCK_CHARACTERS = 256;

/** Number of hexadecimal digits of a prefix digest. */
const PREFIX_DIGEST_LENGTH = 16;

/** Number of answer tokens if the request has no `max_tokens`. */
const DEFAULT_ANSWER_TOKENS = 16;

/** Fields of a completion request that the engine uses. */
export interface CompletionBody {
  readonly model?: string;
  readonly prompt?: string;
  readonly messages?: readonly { readonly role: string; readonly content: string }[];
  readonly max_tokens?: number;
  readonly stream?: boolean;
}

/** Text of the prompt; chat messages are joined as lines of `role: content`. */
export function promptText(body: CompletionBody): string {
  if (body.messages === undefined) return body.prompt ?? '';
  return body.messages.map((message) => `${message.role}: ${message.content}`).join('\n');
}

/**
 * Digests of the prefixes of 1, 2, 3... whole blocks of a prompt; each digest covers the previous
 * one and one more block.
 */
export function prefixDigests(text: string): readonly string[] {
  const digests: string[] = [];
  let previous = '';
  const blocks = Math.floor(text.length / PREFIX_BLOCK_CHARACTERS);
  for (let block = 0; block < blocks; block += 1) {
    const start = block * PREFIX_BLOCK_CHARACTERS;
    const blockText = text.slice(start, start + PREFIX_BLOCK_CHARACTERS);
    previous = digestOf(`${previous}\n${blockText}`).slice(0, PREFIX_DIGEST_LENGTH);
    digests.push(previous);
  }
  return digests;
}

/** Number of tokens that a request is answered with. */
export function answerLength(body: CompletionBody): number {
  return Math.max(2, body.max_tokens ?? DEFAULT_ANSWER_TOKENS);
}

/** One token of an answer: the first holds the prompt's digest, the last marks the end. */
export function answerToken(promptDigest: Digest, index: number, length: number): string {
  if (index === 0) return `prompt:${promptDigest}`;
  return index === length - 1 ? ' end' : ` t${index}`;
}

/** Complete answer to a prompt, for comparison in tests. */
export function expectedAnswer(text: string, length: number): string {
  const digest = digestOf(text);
  return Array.from({ length }, (_token, index) => answerToken(digest, index, length)).join('');
}
