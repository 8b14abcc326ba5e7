import { createHash } from 'node:crypto';

/** SHA-256 in lower-case hexadecimal. */
export type Digest = string;

/** Digest of bytes or of a text in UTF-8. */
export function digestOf(data: Uint8Array | string): Digest {
  return createHash('sha256').update(data).digest('hex');
}

/** JSON with the keys of every object sorted, so that equal values give equal texts. */
export function canonicalJson(value: unknown): string {
  return JSON.stringify(value, (_key, item: unknown) => {
    if (item === null || typeof item !== 'object' || Array.isArray(item)) return item;
    const entries = Object.entries(item);
    return Object.fromEntries(entries.sort(([left], [right]) => (left < right ? -1 : 1)));
  });
}
