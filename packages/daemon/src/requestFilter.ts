import type { RequestResult } from './requestTypes.js';

/** The rest of the chain after a filter. */
export type NextFilter<Output> = (request: Output) => Promise<RequestResult>;

/**
 * One step of the request path: it ends the request with a result of its own or passes it on,
 * with more known of it, and may act on the result on the way back.
 */
export type RequestFilter<Input, Output> = (
  request: Input,
  next: NextFilter<Output>,
) => Promise<RequestResult>;

/** Joins two filters to one. */
export function joinFilters<Input, Middle, Output>(
  first: RequestFilter<Input, Middle>,
  second: RequestFilter<Middle, Output>,
): RequestFilter<Input, Output> {
  return async (request, next) => first(request, async (middle) => second(middle, next));
}
