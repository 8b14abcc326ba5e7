import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { restRetryAfterMilliseconds } from '@burdockrail/limits/refusalRetryAfter.js';
import { createUpstreamRest } from '@burdockrail/limits/upstreamRest.js';
import type { UpstreamIncarnation } from '@burdockrail/protocol/protocolDirectory.js';
import type { ClusterView } from './clusterView.js';
import type { AnswerHeaders } from './dialect.js';
import type { Refusal } from './entryAdmission.js';
import type { GatewayContext } from './gatewayContext.js';

/** Lowest status that is no success. */
const REDIRECTION_STATUS = 300;

/** Status of a refusal that may ask for a rest. */
const UNAVAILABLE_STATUS = 503;

/** Start time of an upstream that the directory no longer holds. */
const UNKNOWN_START_TIME = 0;

/** Upstreams that turned requests of this entry away and want no others for a time. */
export interface UpstreamRests {
  /** The upstream as the directory knows it; take it before a request is sent. */
  incarnationOf(upstream: string): UpstreamIncarnation;
  /**
   * Records what the head of an answer to a request of this entry says; returns the rest that it
   * begins or prolongs, in milliseconds, or `null`.
   */
  recordAnswer(
    upstream: UpstreamIncarnation,
    status: number,
    answer: Pick<AnswerHeaders, 'retryAfterMilliseconds'>,
    now: Milliseconds,
  ): Milliseconds | null;
  /** Returns the time until an upstream may get requests, in milliseconds; 0 if it may now. */
  restMilliseconds(upstream: UpstreamIncarnation, now: Milliseconds): Milliseconds;
  /** True after a rest while others should be preferred. */
  isAvoided(upstream: UpstreamIncarnation, now: Milliseconds): boolean;
  /** Returns the time until the first of the resting upstreams has rested; `null` if none rests. */
  shortestRestMilliseconds(
    upstreams: readonly UpstreamIncarnation[],
    now: Milliseconds,
  ): Milliseconds | null;
  /** Discards what no longer counts. */
  discardEnded(now: Milliseconds): void;
}

/** Refusal of a request whose upstreams rest; the first of them for `restMilliseconds`. */
export function restingRefusal(restMilliseconds: Milliseconds): Refusal {
  return {
    code: ResultCode.Overloaded,
    detail: 'upstreams rest',
    retryAfterMilliseconds: restRetryAfterMilliseconds(restMilliseconds),
  };
}

/** Creates an empty table. */
export function createUpstreamRests(
  { log }: Pick<GatewayContext, 'log'>,
  clusterView: Pick<ClusterView, 'directory'>,
): UpstreamRests {
  const rests = createUpstreamRest();
  return {
    incarnationOf: (upstream) => {
      const record = clusterView.directory.get(upstream)?.record;
      return { id: upstream, startedAt: record?.startedAt ?? UNKNOWN_START_TIME };
    },
    recordAnswer: (upstream, status, { retryAfterMilliseconds }, now) => {
      if (status < REDIRECTION_STATUS) rests.recordServed(upstream, now);
      if (status !== UNAVAILABLE_STATUS || retryAfterMilliseconds === null) return null;
      const restMilliseconds = rests.record(upstream, retryAfterMilliseconds, now);
      if (restMilliseconds !== null)
        log.write('upstreamRests', { upstream: upstream.id, restMilliseconds });
      return restMilliseconds;
    },
    restMilliseconds: (upstream, now) => rests.restMilliseconds(upstream, now),
    isAvoided: (upstream, now) => rests.isAvoided(upstream, now),
    shortestRestMilliseconds: (upstreams, now) => {
      const restTimes = upstreams
        .map((upstream) => rests.restMilliseconds(upstream, now))
        .filter((rest) => rest > 0);
      return restTimes.length === 0 ? null : Math.min(...restTimes);
    },
    discardEnded: (now) => {
      rests.discardEnded(now);
    },
  };
}
