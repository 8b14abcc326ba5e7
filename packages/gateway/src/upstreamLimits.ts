import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import {
  createLimitShare,
  type EntryRank,
  type LimitShare,
} from '@burdockrail/limits/limitShare.js';
import type { AnswerHeaders } from './dialect.js';
import type { GatewayContext } from './gatewayContext.js';

/** What an answer says about its upstream's limit. */
export type NamedLimitAnswer = Pick<AnswerHeaders, 'requestsPerSecond' | 'signed'>;

/** Rate limits that upstreams name in their answers, and this entry's share of each. */
export interface UpstreamLimits {
  /** Records what an answer of an upstream says. */
  recordAnswer(upstream: string, answer: NamedLimitAnswer): void;
  /**
   * Lets a request to an upstream pass (0), or returns the time until this entry may send one, in
   * milliseconds; `wallTime` is Unix time.
   */
  take(upstream: string, rank: EntryRank, wallTime: Milliseconds): Milliseconds;
  /** Discards the limits of all other upstreams. */
  retain(ids: ReadonlySet<string>): void;
}

interface KnownLimit {
  readonly requestsPerSecond: number;
  readonly share: LimitShare;
}

/** Creates an empty table. */
export function createUpstreamLimits({ log }: Pick<GatewayContext, 'log'>): UpstreamLimits {
  const limits = new Map<string, KnownLimit>();
  return {
    recordAnswer: (upstream, { requestsPerSecond, signed }) => {
      const known = limits.get(upstream);
      const former = known?.requestsPerSecond ?? null;
      // An answer that the upstream did not sign may lack headers that it would have.
      if (requestsPerSecond === former || (requestsPerSecond === null && !signed)) return;
      if (requestsPerSecond === null) limits.delete(upstream);
      else {
        const share = known?.share ?? createLimitShare();
        limits.set(upstream, { requestsPerSecond, share });
      }
      log.write('upstreamLimited', { upstream, requestsPerSecond, former });
    },
    take: (upstream, rank, wallTime) => {
      const known = limits.get(upstream);
      return known === undefined ? 0 : known.share.take(known.requestsPerSecond, rank, wallTime);
    },
    retain: (ids) => {
      for (const id of limits.keys()) if (!ids.has(id)) limits.delete(id);
    },
  };
}
