import type { ResultCode } from './resultCode.js';
import { resultName } from './resultCode.js';

/** A fault of one field of a document that an operator wrote. */
export interface FieldIssue {
  readonly code: ResultCode;
  /** Where the field stands, for example `services[kasa].home`. */
  readonly path: string;
  readonly expected: string;
  /** What stands there, shortened. */
  readonly found: string;
}

/** What this module reads of an issue of a schema library. */
export interface SchemaIssue {
  readonly code?: string | undefined;
  readonly path: readonly PropertyKey[];
  readonly message: string;
}

/** Longest text of a found value in an issue, in characters. */
const FOUND_CHARACTERS = 60;

/** One line for an issue: number, name, path, expectation and what was found. */
export function formatFieldIssue(issue: FieldIssue): string {
  const label = `${issue.code} ${resultName(issue.code)}`;
  return `${label}: ${issue.path}: expected ${issue.expected}, found ${issue.found}`;
}

/** Short text of any value for the `found` part of an issue. */
export function describeFound(value: unknown): string {
  if (value === undefined) return 'nothing';
  const text = JSON.stringify(value) as string | undefined;
  if (text === undefined) return typeof value;
  return text.length > FOUND_CHARACTERS ? `${text.slice(0, FOUND_CHARACTERS)}...` : text;
}

/**
 * Path of a field within a document. Elements of lists are named by their name, or by their
 * position where they have none.
 */
export function fieldPath(document: unknown, path: readonly PropertyKey[]): string {
  let text = '';
  let value: unknown = document;
  for (const key of path) {
    const child = childOf(value, key);
    if (Array.isArray(value)) text += `[${elementName(child) ?? String(key)}]`;
    else text += text === '' ? String(key) : `.${String(key)}`;
    value = child;
  }
  return text === '' ? '(root)' : text;
}

/** Turns the issues of a schema library into field issues, one for each unknown key. */
export function fieldIssues(
  code: ResultCode,
  document: unknown,
  issues: readonly SchemaIssue[],
): readonly FieldIssue[] {
  return issues.flatMap((issue) =>
    issuePaths(issue).map((path) => ({
      code,
      path: fieldPath(document, path),
      expected: expectation(issue),
      found: describeFound(valueAt(document, path)),
    })),
  );
}

function issuePaths(issue: SchemaIssue): readonly (readonly PropertyKey[])[] {
  const { keys } = issue as { readonly keys?: readonly string[] };
  if (issue.code !== 'unrecognized_keys' || keys === undefined) return [issue.path];
  return keys.map((key) => [...issue.path, key]);
}

function expectation(issue: SchemaIssue): string {
  if (issue.code === 'unrecognized_keys') return 'no field of this name';
  const named = /expected (.+?)(?:, received .*)?$/u.exec(issue.message);
  if (named?.[1] !== undefined) return named[1];
  const detail = (issue as { readonly format?: string }).format;
  return detail === undefined ? issue.message : `a value in the form ${detail}`;
}

function elementName(element: unknown): string | undefined {
  if (element === null || typeof element !== 'object') return undefined;
  const { name, model, method, path } = element as Readonly<Record<string, unknown>>;
  if (typeof name === 'string') return name;
  if (typeof model === 'string') return model;
  if (typeof method === 'string' && typeof path === 'string') return `${method} ${path}`;
  return undefined;
}

function childOf(value: unknown, key: PropertyKey): unknown {
  if (value === null || typeof value !== 'object') return undefined;
  return (value as Readonly<Record<PropertyKey, unknown>>)[key];
}

function valueAt(document: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>(childOf, document);
}
