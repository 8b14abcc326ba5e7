/** One measured point: a size and the cost at that size. */
export interface CapacityPoint {
  readonly size: number;
  readonly cost: number;
}

/** A straight line through measured points. */
export interface CapacitySlope {
  /** Cost at size 0. */
  readonly base: number;
  /** Cost of each unit of size. */
  readonly perUnit: number;
  /** Share of the variance that the line explains, 0 to 1. */
  readonly fit: number;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

/** Fits a line by least squares. */
export function fitSlope(points: readonly CapacityPoint[]): CapacitySlope {
  const meanSize = mean(points.map((point) => point.size));
  const meanCost = mean(points.map((point) => point.cost));
  let covariance = 0;
  let sizeVariance = 0;
  let costVariance = 0;
  for (const point of points) {
    covariance += (point.size - meanSize) * (point.cost - meanCost);
    sizeVariance += (point.size - meanSize) ** 2;
    costVariance += (point.cost - meanCost) ** 2;
  }
  const perUnit = sizeVariance === 0 ? 0 : covariance / sizeVariance;
  const explained = costVariance === 0 ? 1 : (perUnit * covariance) / costVariance;
  return { base: meanCost - perUnit * meanSize, perUnit, fit: explained };
}

/** Cost that a line gives at a size. */
export function costAt(slope: CapacitySlope, size: number): number {
  return slope.base + slope.perUnit * size;
}
