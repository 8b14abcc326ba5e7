import type { ResultCode } from './resultCode.js';
import { resultDescriptions } from './resultCode.js';

/** A failure with its number and what is specific to the case. */
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

/** Result of a decision or call that can fail. */
export type Outcome<Value> = Success<Value> | Failure;

/** Creates a success. */
export function success<Value>(value: Value): Success<Value> {
  return { kind: 'success', value };
}

/** Creates a failure; without a detail the text of the code stands in. */
export function failure(code: ResultCode, detail?: string): Failure {
  return { kind: 'failure', code, detail: detail ?? resultDescriptions[code].text };
}

/** A {@link Failure} as an exception, for boundaries where promises reject. */
export class ResultError extends Error {
  readonly code: ResultCode;

  constructor(code: ResultCode, detail?: string) {
    super(detail ?? resultDescriptions[code].text);
    this.name = 'ResultError';
    this.code = code;
  }
}

/** Turns anything thrown into a {@link ResultError}; other errors take the given code. */
export function toResultError(error: unknown, fallback: ResultCode): ResultError {
  if (error instanceof ResultError) return error;
  return new ResultError(fallback, error instanceof Error ? error.message : String(error));
}
