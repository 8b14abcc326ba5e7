import assert from 'node:assert/strict';
import { existsSync, readFileSync, writeFileSync } from 'node:fs';

/** Environment variable that has golden files written in place of compared. */
const UPDATE_VARIABLE = 'UPDATE_GOLDEN';

/** A pattern whose matches differ from run to run, and the word that stands in for them. */
interface VaryingPart {
  readonly pattern: RegExp;
  readonly word: string;
}

const varyingParts: readonly VaryingPart[] = [
  { pattern: /\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(?:\.\d+)?Z/gu, word: 'time' },
  { pattern: /\b[0-9a-f]{8}(?:-[0-9a-f]{4}){3}-[0-9a-f]{12}\b/gu, word: 'id' },
  { pattern: /\b127\.\d+\.\d+\.\d+:\d+\b/gu, word: 'address' },
  { pattern: /\b[0-9a-f]{64}\b/gu, word: 'digest' },
  { pattern: /\b[0-9a-f]{16}\b/gu, word: 'incarnation' },
  { pattern: /\b\d+(?:\.\d+)? ?ms\b/gu, word: 'duration' },
];

/**
 * Replaces what differs from run to run by numbered words; equal values get equal words.
 */
export function normaliseSession(text: string): string {
  return varyingParts.reduce((present, { pattern, word }) => {
    const known = new Map<string, string>();
    return present.replace(pattern, (found) => {
      const name = known.get(found) ?? `<${word} ${known.size + 1}>`;
      known.set(found, name);
      return name;
    });
  }, text);
}

/**
 * Compares a session with its golden file.
 *
 * @remarks
 * With `UPDATE_GOLDEN=1` in the environment the file is written instead; a missing file fails.
 */
export function assertGolden(path: string, session: string): void {
  const normalised = normaliseSession(session);
  if (process.env[UPDATE_VARIABLE] === '1') {
    writeFileSync(path, normalised);
    return;
  }
  assert.ok(existsSync(path), `${path} is missing; write it with ${UPDATE_VARIABLE}=1`);
  assert.equal(normalised, readFileSync(path, 'utf8'));
}
