import type { ResultCode } from './resultCode.js';
import { resultDescriptions } from './resultCode.js';

/** A failure with its result code and the details of the case. */
export interface Failure {
  readonly kind: 'failure';
  readonly code: ResultCode;
  readonly detail: string;
}

/** A success that carries a value. */
export interface Success<Value> {
  readonly kind: 'success';
  readonly value: Value;
}

/** Result of an operation that can fail. */
export type Outcome<Value> = Success<Value> | Failure;

/** Creates a success. */
export function success<Value>(value: Value): Success<Value> {
  return { kind: 'success', value };
}

/** Creates a failure; the detail defaults to the text of the result code. */
export function failure(code: ResultCode, detail?: string): Failure {
  return { kind: 'failure', code, detail: detail ?? resultDescriptions[code].text };
}

/** A {@link Failure} as an exception, for APIs that reject or throw. */
export class ResultError extends Error {
  readonly code: ResultCode;

  constructor(code: ResultCode, detail?: string) {
    super(detail ?? resultDescriptions[code].text);
    this.name = 'ResultError';
    this.code = code;
  }
}

/** Converts any thrown value to a {@link ResultError}; other errors get the fallback code. */
export function toResultError(error: unknown, fallback: ResultCode): ResultError {
  if (error instanceof ResultError) return error;
  return new ResultError(fallback, error instanceof Error ? error.message : String(error));
}
