/** Rates of the shaped links, in bytes a second. */
export interface LinkRates {
  readonly origin: number;
  readonly machine: number;
  /** Between two regions, one way. */
  readonly regionPair: number;
}

/** Copies that the origin's link carries in the window. */
const ORIGIN_COPIES = 4;

/** Copies that a machine's link carries in the window. */
const MACHINE_COPIES = 2;

/** Copies that the link between two regions carries in the window: 14 Mbit/s for 300 s of 500 MB. */
const REGION_PAIR_COPIES = ((14e6 / 8) * 300) / 500e6;

/** Rates at which the links carry their copies of the weights in the window. */
export function linkRates(weightBytes: number, windowSeconds: number): LinkRates {
  const copy = weightBytes / windowSeconds;
  return {
    origin: ORIGIN_COPIES * copy,
    machine: MACHINE_COPIES * copy,
    regionPair: REGION_PAIR_COPIES * copy,
  };
}

/** What a rollout is compared with. */
export interface RolloutLimits {
  readonly seconds: number;
  readonly originCopies: number;
  /** Copies into each region but the one that a chunk entered first, on average. */
  readonly interRegionCopies: number;
  /** The link that sets the time. */
  readonly bound: 'origin' | 'machine' | 'regions';
}

/**
 * Shortest time and fewest copies that the links allow when one copy leaves the origin.
 *
 * @remarks
 * One copy leaves the origin; each machine receives one; what the regions did not get from the
 * origin crosses between them, spread evenly over all pairs and directions: of the `D - 1` copies
 * that cross, each of `D * (D - 1)` links carries `1 / D`.
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
    bound: slowest.bound,
    originCopies: 1,
    interRegionCopies: regions > 1 ? (regions - 1) / regions : 0,
  };
}
