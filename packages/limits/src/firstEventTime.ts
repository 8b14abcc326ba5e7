/** Time to the first event at an engine without other requests, without the prompt, in milliseconds. */
const BASE_MILLISECONDS = 70;

/** Growth with the square of the requests that run: each lengthens every step, and their prompts come in between. */
const GROWTH_MILLISECONDS = 0.75;

/**
 * Expected time from a granted place to the first event, without reading the prompt, in milliseconds.
 *
 * @param running - requests at the engine.
 */
export function firstEventMilliseconds(running: number): number {
  return BASE_MILLISECONDS + GROWTH_MILLISECONDS * running * running;
}
