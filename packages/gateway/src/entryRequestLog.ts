import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { CallerAnswer } from './callerAnswer.js';
import type { EntryContext } from './entryContext.js';
import type { RequestTrace } from './entryRequest.js';

/** What is logged of a request besides its answer and trace. */
export interface RequestMetadata {
  readonly arrivedAt: Milliseconds;
  route: string;
  team: string;
  /** Latency objective of the route, in milliseconds; `null` without a route. */
  objective: number | null;
  callerLeft: boolean;
}

/** Log lines and metrics of the requests that have ended. */
export interface EntryRequestLog {
  /** `id` and `target` are those of the caller. */
  record(
    id: string | null,
    target: string,
    answer: Pick<CallerAnswer, 'state' | 'status'>,
    trace: RequestTrace,
    metadata: RequestMetadata,
  ): void;
}

/** Creates the log of an entry's requests. */
export function createEntryRequestLog(
  entry: Pick<EntryContext, 'clusterView' | 'log' | 'metrics' | 'time'>,
): EntryRequestLog {
  const { clusterView, log, metrics, time } = entry;
  const requestDurations = metrics.histogram('burdockrail_request_seconds');
  const firstEventDelays = metrics.histogram('burdockrail_first_event_seconds');
  return {
    record: (id, target, answer, trace, metadata) => {
      const now = time.now();
      const durationMilliseconds = now - metadata.arrivedAt;
      const labels = { team: metadata.team, class: metadata.route };
      requestDurations.record(labels, durationMilliseconds);
      if (trace.firstByteMilliseconds !== null)
        firstEventDelays.record(labels, trace.firstByteMilliseconds);
      const outcome = metadata.callerLeft ? 'callerLeft' : answer.state;
      metrics.count('burdockrail_requests_total', {
        route: metadata.route,
        status: String(answer.status),
        outcome,
      });
      log.write('requestEnded', {
        request: id,
        route: metadata.route,
        team: metadata.team,
        status: answer.status,
        outcome,
        cause: trace.cause,
        attempts: trace.attempts,
        upstreams: trace.upstreams.join(','),
        first:
          trace.firstByteMilliseconds === null ? null : Math.round(trace.firstByteMilliseconds),
        pause: Math.round(trace.longestPauseMilliseconds),
        milliseconds: Math.round(durationMilliseconds),
        objective: metadata.objective,
        configuration: clusterView.table?.configuration.version ?? 0,
        confirmedAge: Math.round(Math.min(now - clusterView.confirmedAt, 1e9)),
        ...(metadata.route === '' ? { target } : {}),
      });
    },
  };
}
