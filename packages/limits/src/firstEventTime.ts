/** Time to the first event at an idle engine, excluding prefill, in milliseconds. */
const IDLE_FIRST_EVENT_MILLISECONDS = 70;

/**
 * Increase per squared running request, in milliseconds: each request lengthens every step, and
 * their prefills delay the first event.
 */
const QUADRATIC_GROWTH_MILLISECONDS = 0.75;

/**
 * Expected time from the grant of a slot to the first event, excluding prefill, in milliseconds.
 *
 * @param running - requests running at the engine.
 */
export function firstEventMilliseconds(running: number): number {
  return IDLE_FIRST_EVENT_MILLISECONDS + QUADRATIC_GROWTH_MILLISECONDS * running * running;
}
