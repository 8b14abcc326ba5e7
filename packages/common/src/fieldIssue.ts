import type { ResultCode } from './resultCode.js';
import { resultName } from './resultCode.js';

/** A validation error in one field of a document written by an operator. */
export interface FieldIssue {
  readonly code: ResultCode;
  /** Path of the field, for example `services[kasa].home`. */
  readonly path: string;
  readonly expected: string;
  /** The invalid value, truncated. */
  readonly found: string;
}

/** The fields of a schema library's issue that this module reads. */
export interface SchemaIssue {
  readonly code?: string | undefined;
  readonly path: readonly PropertyKey[];
  readonly message: string;
}

/** Maximum length of a found value in an issue, in characters. */
const MAXIMUM_FOUND_CHARACTERS = 60;

/** Formats an issue as one line: result code and name, path, expected and found value. */
export function formatFieldIssue(issue: FieldIssue): string {
  const label = `${issue.code} ${resultName(issue.code)}`;
  return `${label}: ${issue.path}: expected ${issue.expected}, found ${issue.found}`;
}

/** Formats any value for the `found` field of an issue. */
export function formatFoundValue(value: unknown): string {
  if (value === undefined) return 'nothing';
  const text = JSON.stringify(value) as string | undefined;
  if (text === undefined) return typeof value;
  return text.length > MAXIMUM_FOUND_CHARACTERS
    ? `${text.slice(0, MAXIMUM_FOUND_CHARACTERS)}...`
    : text;
}

/**
 * Formats the path of a field within a document. List elements appear by name, or by index if
 * they have none.
 */
export function formatFieldPath(document: unknown, path: readonly PropertyKey[]): string {
  let text = '';
  let value: unknown = document;
  for (const key of path) {
    const child = childAt(value, key);
    if (Array.isArray(value)) text += `[${elementName(child) ?? String(key)}]`;
    else text += text === '' ? String(key) : `.${String(key)}`;
    value = child;
  }
  return text === '' ? '(root)' : text;
}

/**
 * Converts a schema library's issues to field issues. An issue about several unknown keys gives
 * one field issue for each key.
 */
export function toFieldIssues(
  code: ResultCode,
  document: unknown,
  issues: readonly SchemaIssue[],
): readonly FieldIssue[] {
  return issues.flatMap((issue) =>
    issuePaths(issue).map((path) => ({
      code,
      path: formatFieldPath(document, path),
      expected: describeExpected(issue),
      found: formatFoundValue(valueAt(document, path)),
    })),
  );
}

function issuePaths(issue: SchemaIssue): readonly (readonly PropertyKey[])[] {
  const { keys } = issue as { readonly keys?: readonly string[] };
  if (issue.code !== 'unrecognized_keys' || keys === undefined) return [issue.path];
  return keys.map((key) => [...issue.path, key]);
}

function describeExpected(issue: SchemaIssue): string {
  if (issue.code === 'unrecognized_keys') return 'no field of this name';
  const match = /expected (.+?)(?:, received .*)?$/u.exec(issue.message);
  if (match?.[1] !== undefined) return match[1];
  const format = (issue as { readonly format?: string }).format;
  return format === undefined ? issue.message : `a value in the format ${format}`;
}

function elementName(element: unknown): string | undefined {
  if (element === null || typeof element !== 'object') return undefined;
  const { name, model, method, path } = element as Readonly<Record<string, unknown>>;
  if (typeof name === 'string') return name;
  if (typeof model === 'string') return model;
  if (typeof method === 'string' && typeof path === 'string') return `${method} ${path}`;
  return undefined;
}

function childAt(value: unknown, key: PropertyKey): unknown {
  if (value === null || typeof value !== 'object') return undefined;
  return (value as Readonly<Record<PropertyKey, unknown>>)[key];
}

function valueAt(document: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>(childAt, document);
}
