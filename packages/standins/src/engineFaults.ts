import type { FaultBase, NoticeFault } from './faultSet.js';

/** A stream sends nothing for a time after a number of tokens, and then goes on. */
export interface SilenceFault {
  readonly kind: 'silence';
  readonly afterTokens: number;
  readonly milliseconds: number;
}

/** Faults of an engine; `crossed` answers with the identity of the previous request. */
export type EngineFault =
  | NoticeFault
  | (FaultBase &
      (
        | { readonly kind: 'stall'; readonly afterTokens: number }
        | { readonly kind: 'cut'; readonly afterTokens: number }
        | { readonly kind: 'crossed' }
        | { readonly kind: 'twice' }
        | { readonly kind: 'late'; readonly milliseconds: number }
        | { readonly kind: 'crash'; readonly marker: string }
        | { readonly kind: 'error' }
        | { readonly kind: 'corrupt-chunk' }
        | { readonly kind: 'order-late'; readonly milliseconds: number }
        | { readonly kind: 'order-refused' }
        | { readonly kind: 'events-silent' }
        | SilenceFault
      ));

/** Counts of an engine; a crash does not reset them. */
export interface EngineCounts {
  /** Completion requests, including rejected ones. */
  requests: number;
  runs: number;
  finished: number;
  cancelled: number;
  resumed: number;
  crashes: number;
  tokens: number;
  chunkBytesReceived: number;
  staleOrdersRefused: number;
  prefixBlocks: number;
  prefixBlocksMissed: number;
  readonly runsByKey: Record<string, number>;
  readonly answersByDigest: Record<string, number>;
  /** Time at which each digest was first loaded, in Unix milliseconds. */
  readonly loadedAt: Record<string, number>;
  readonly orders: { readonly kind: string; readonly digest: string; readonly fencing: number }[];
}

/** Creates counts at zero. */
export function createEngineCounts(): EngineCounts {
  return {
    requests: 0,
    runs: 0,
    finished: 0,
    cancelled: 0,
    resumed: 0,
    crashes: 0,
    tokens: 0,
    chunkBytesReceived: 0,
    staleOrdersRefused: 0,
    prefixBlocks: 0,
    prefixBlocksMissed: 0,
    runsByKey: {},
    answersByDigest: {},
    loadedAt: {},
    orders: [],
  };
}
