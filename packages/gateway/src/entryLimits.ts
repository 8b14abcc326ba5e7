import type { ClusterView } from './clusterView.js';

/** Limits in force until the first configuration arrives. */
export const defaultLimits = {
  headerBytes: 16_384,
  bodyBytes: 4_194_304,
  headerTimeoutMilliseconds: 3_000,
  idleTimeoutMilliseconds: 15_000,
};

/** Limits for callers' requests and connections of the configuration in force. */
export function limitsInForce({ table }: Pick<ClusterView, 'table'>): typeof defaultLimits {
  return table?.configuration.limits ?? defaultLimits;
}
