import assert from 'node:assert/strict';
import { existsSync, readFileSync, writeFileSync } from 'node:fs';

/** Environment variable that makes golden files be written instead of compared. */
const UPDATE_VARIABLE = 'UPDATE_GOLDEN';

/** A pattern whose matches differ between runs, and the placeholder that replaces them. */
interface VariablePattern {
  readonly pattern: RegExp;
  readonly placeholder: string;
}

const variablePatterns: readonly VariablePattern[] = [
  { pattern: /\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(?:\.\d+)?Z/gu, placeholder: 'time' },
  { pattern: /\b[0-9a-f]{8}(?:-[0-9a-f]{4}){3}-[0-9a-f]{12}\b/gu, placeholder: 'id' },
  { pattern: /\b127\.\d+\.\d+\.\d+:\d+\b/gu, placeholder: 'address' },
  { pattern: /\b[0-9a-f]{64}\b/gu, placeholder: 'digest' },
  { pattern: /\b[0-9a-f]{16}\b/gu, placeholder: 'incarnation' },
  { pattern: /\b\d+(?:\.\d+)? ?ms\b/gu, placeholder: 'duration' },
];

/**
 * Replaces values that differ between runs by numbered placeholders; equal values get equal ones.
 */
export function normalizeSession(text: string): string {
  return variablePatterns.reduce((present, { pattern, placeholder: word }) => {
    const known = new Map<string, string>();
    return present.replace(pattern, (found) => {
      const name = known.get(found) ?? `<${word} ${known.size + 1}>`;
      known.set(found, name);
      return name;
    });
  }, text);
}

/**
 * Compares a recorded session with its golden file.
 *
 * @remarks
 * With `UPDATE_GOLDEN=1` in the environment the file is written instead. A missing file is an error.
 */
export function assertGolden(path: string, session: string): void {
  const normalised = normalizeSession(session);
  if (process.env[UPDATE_VARIABLE] === '1') {
    writeFileSync(path, normalised);
    return;
  }
  assert.ok(existsSync(path), `${path} is missing; write it with ${UPDATE_VARIABLE}=1`);
  assert.equal(normalised, readFileSync(path, 'utf8'));
}
