import { timerDelay } from '@burdockrail/common/timerDelay.js';

/** Time without a first event after which an engine counts as silent, in milliseconds. */
const FIRST_EVENT_TIMEOUT_MILLISECONDS = 1_700;

/** The same between events, in multiples of the route's usual pause. */
const SILENCE_TIMEOUT_PAUSES = 3;

/** Minimum time between events after which an engine counts as silent, in milliseconds. */
const MINIMUM_SILENCE_TIMEOUT_MILLISECONDS = 900;

/** Tells when an engine has sent no event of a stream for a while. */
export interface SilenceTimer {
  /** True from a report of silence until the next event. */
  readonly isSilent: boolean;
  eventReceived(): void;
  /** Nothing is read from the engine, so it is not silent, until `resume`. */
  pause(): void;
  resume(): void;
  stop(): void;
}

/**
 * Starts the timer of a stream that has no event yet.
 *
 * @param pauseMilliseconds - usual pause between events of the route.
 * @param onSilent - called after each further time without an event.
 */
export function startSilenceTimer(pauseMilliseconds: number, onSilent: () => void): SilenceTimer {
  const timeoutMilliseconds = Math.max(
    MINIMUM_SILENCE_TIMEOUT_MILLISECONDS,
    pauseMilliseconds * SILENCE_TIMEOUT_PAUSES,
  );
  let timer: NodeJS.Timeout | undefined;
  let isSilent = false;
  let isPaused = false;
  let isStopped = false;

  const restart = (milliseconds: number): void => {
    clearTimeout(timer);
    if (isPaused || isStopped) return;
    timer = setTimeout(() => {
      isSilent = true;
      restart(timeoutMilliseconds);
      onSilent();
    }, timerDelay(milliseconds));
  };

  restart(FIRST_EVENT_TIMEOUT_MILLISECONDS);
  return {
    get isSilent() {
      return isSilent;
    },
    eventReceived: () => {
      isSilent = false;
      restart(timeoutMilliseconds);
    },
    pause: () => {
      isPaused = true;
      clearTimeout(timer);
    },
    resume: () => {
      isPaused = false;
      restart(timeoutMilliseconds);
    },
    stop: () => {
      isStopped = true;
      clearTimeout(timer);
    },
  };
}
