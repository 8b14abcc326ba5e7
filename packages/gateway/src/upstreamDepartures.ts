import { createLeavingUpstreams } from '@burdockrail/membership/leavingUpstreams.js';
import type { UpstreamIncarnation } from '@burdockrail/protocol/protocolDirectory.js';
import type { NotRun } from './attemptOutcome.js';
import type { AnswerHeaders } from './dialect.js';
import type { GatewayContext } from './gatewayContext.js';

/** Upstreams that said in an answer to this entry that they leave. */
export interface UpstreamDepartures {
  /** Records what an answer of an upstream says; `startedAt` is the upstream's start. */
  recordAnswer(incarnation: UpstreamIncarnation, answer: Pick<AnswerHeaders, 'leaving'>): void;
  /** True if this incarnation of an upstream gets no further requests, whatever it announces. */
  isLeaving(incarnation: UpstreamIncarnation): boolean;
}

/** Outcome of a request that waited for an upstream which said meanwhile that it leaves. */
export const leavingOutcome: NotRun = {
  kind: 'notRun',
  verdict: 'leaving',
  reason: 'the upstream is leaving',
  sent: false,
};

/** Creates the record of an entry that has received no answer yet. */
export function createUpstreamDepartures({
  log,
  metrics,
}: Pick<GatewayContext, 'log' | 'metrics'>): UpstreamDepartures {
  const leaving = createLeavingUpstreams();
  return {
    recordAnswer: (incarnation, answer) => {
      if (!answer.leaving || !leaving.add(incarnation)) return;
      log.write('upstreamLeaving', {
        upstream: incarnation.id,
        startedAt: incarnation.startedAt,
      });
      metrics.count('burdockrail_upstreams_leaving_total', {});
    },
    isLeaving: (incarnation) => leaving.has(incarnation),
  };
}
