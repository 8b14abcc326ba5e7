import type { EventLog } from '@burdockrail/telemetry/eventLog.js';
import type { AttemptUpstream } from './attemptUpstream.js';

/** Interval of the checks whether an upstream that leaves has gone, in milliseconds. */
const POLL_INTERVAL_MILLISECONDS = 100;

/** Whether the upstream of an agent said that it leaves, until another process is in its place. */
export interface UpstreamDeparture extends AsyncDisposable {
  readonly isLeaving: boolean;
  /** Number of the process that is in the upstream's place. */
  readonly incarnation: number;
  /** Records that an answer said so to an attempt that was sent to this incarnation. */
  record(incarnation: number): void;
}

/** Options of {@link createUpstreamDeparture}. */
export interface UpstreamDepartureOptions {
  readonly upstream: Pick<AttemptUpstream, 'isReachable'>;
  readonly log: EventLog;
  /** Called when `isLeaving` has changed. */
  readonly onChanged: () => void;
}

/**
 * Creates the state of an upstream that has not said that it leaves.
 *
 * @remarks
 * The upstream keeps its address when it starts again, so it counts as another process once it
 * accepts connections after it had ceased to.
 */
export function createUpstreamDeparture({
  upstream,
  log,
  onChanged,
}: UpstreamDepartureOptions): UpstreamDeparture {
  let isLeaving = false;
  let incarnation = 1;
  let isStopped = false;
  let timer: NodeJS.Timeout | undefined;

  const pollUntilReplaced = async (wasReachable: boolean): Promise<void> => {
    const isReachable = await upstream.isReachable();
    if (isStopped) return;
    if (isReachable && !wasReachable) {
      isLeaving = false;
      incarnation += 1;
      log.write('upstreamReturned', {});
      onChanged();
      return;
    }
    timer = setTimeout(() => void pollUntilReplaced(isReachable), POLL_INTERVAL_MILLISECONDS);
  };

  return {
    get isLeaving() {
      return isLeaving;
    },
    get incarnation() {
      return incarnation;
    },
    record: (sentTo) => {
      if (isLeaving || sentTo !== incarnation) return;
      isLeaving = true;
      log.write('upstreamLeaving', {});
      onChanged();
      void pollUntilReplaced(true);
    },
    [Symbol.asyncDispose]: async () => {
      isStopped = true;
      clearTimeout(timer);
      return Promise.resolve();
    },
  };
}
