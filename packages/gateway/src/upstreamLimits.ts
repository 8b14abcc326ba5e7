import type { AnswerHeaders } from './dialect.js';
import type { GatewayContext } from './gatewayContext.js';

/** Rate limits that upstreams name in their answers, as known to one entry. */
export interface UpstreamLimits {
  /** Records what an answer of an upstream says. */
  recordAnswer(upstream: string, answer: Pick<AnswerHeaders, 'requestsPerSecond' | 'signed'>): void;
  /** Discards the limits of all other upstreams. */
  retain(ids: ReadonlySet<string>): void;
}

/** Creates an empty table. */
export function createUpstreamLimits({ log }: Pick<GatewayContext, 'log'>): UpstreamLimits {
  const limits = new Map<string, number>();
  return {
    recordAnswer: (upstream, { requestsPerSecond, signed }) => {
      const known = limits.get(upstream) ?? null;
      // An answer that the upstream did not sign may lack headers that it would have.
      if (requestsPerSecond === known || (requestsPerSecond === null && !signed)) return;
      if (requestsPerSecond === null) limits.delete(upstream);
      else limits.set(upstream, requestsPerSecond);
      log.write('upstreamLimited', { upstream, requestsPerSecond, former: known });
    },
    retain: (ids) => {
      for (const id of limits.keys()) if (!ids.has(id)) limits.delete(id);
    },
  };
}
