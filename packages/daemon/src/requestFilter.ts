import type { RequestResult } from './requestTypes.js';

/** The rest of the chain after a filter. */
export type NextStep<Output> = (request: Output) => Promise<RequestResult>;

/**
 * One step of the request pipeline: returns a result of its own or passes the request, extended by
 * what it found out, to the next step, and may act on the result of that step.
 */
export type RequestFilter<Input, Output> = (
  request: Input,
  next: NextStep<Output>,
) => Promise<RequestResult>;

/** Composes two filters into one. */
export function composeFilters<Input, Middle, Output>(
  first: RequestFilter<Input, Middle>,
  second: RequestFilter<Middle, Output>,
): RequestFilter<Input, Output> {
  return async (request, next) => first(request, async (middle) => second(middle, next));
}
