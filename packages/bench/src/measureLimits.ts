/** Bandwidths of the shaped links, in bytes per second. */
export interface LinkRates {
  readonly origin: number;
  readonly machine: number;
  /** Between two regions, in one direction. */
  readonly regionPair: number;
}

/** Copies of the weights that the origin's link carries in the window. */
const ORIGIN_COPIES = 4;

/** Copies of the weights that a machine's link carries in the window. */
const MACHINE_COPIES = 2;

/** Copies that a link between regions carries in the window: 14 Mbit/s during 300 s, for 500 MB. */
const REGION_PAIR_COPIES = ((14e6 / 8) * 300) / 500e6;

/** Bandwidths at which the links carry these copies of the weights in the window. */
export function linkRates(weightBytes: number, windowSeconds: number): LinkRates {
  const copy = weightBytes / windowSeconds;
  return {
    origin: ORIGIN_COPIES * copy,
    machine: MACHINE_COPIES * copy,
    regionPair: REGION_PAIR_COPIES * copy,
  };
}

/** Lower bounds that a rollout is compared with. */
export interface RolloutLimits {
  readonly seconds: number;
  readonly originCopies: number;
  /** Mean number of copies that cross into a region from other regions. */
  readonly interRegionCopies: number;
  /** The kind of link that determines the shortest time. */
  readonly bottleneck: 'origin' | 'machine' | 'regions';
}

/**
 * Shortest time and fewest copies that the links allow.
 *
 * @remarks
 * One copy leaves the origin and each machine receives one. The remaining `D - 1` of the `D`
 * regions' copies cross between regions, spread evenly over the `D * (D - 1)` directed links, so
 * that each link carries `1 / D` of a copy.
 */
export function rolloutLimits(newBytes: number, regions: number, rates: LinkRates): RolloutLimits {
  const candidates = [
    { bound: 'origin', seconds: newBytes / rates.origin },
    { bound: 'machine', seconds: newBytes / rates.machine },
    { bound: 'regions', seconds: regions > 1 ? newBytes / regions / rates.regionPair : 0 },
  ] as const;
  const slowest = candidates.reduce((left, right) => (right.seconds > left.seconds ? right : left));
  return {
    seconds: slowest.seconds,
    bottleneck: slowest.bound,
    originCopies: 1,
    interRegionCopies: regions > 1 ? (regions - 1) / regions : 0,
  };
}
