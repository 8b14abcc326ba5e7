/** Measured cost at one size. */
export interface CapacityPoint {
  readonly size: number;
  readonly cost: number;
}

/** Linear regression of cost on size. */
export interface LinearFit {
  readonly intercept: number;
  /** Cost per unit of size. */
  readonly slope: number;
  /** Coefficient of determination, 0 to 1. */
  readonly rSquared: number;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

/** Fits a line to points by least squares. */
export function fitLine(points: readonly CapacityPoint[]): LinearFit {
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
  const slope = sizeVariance === 0 ? 0 : covariance / sizeVariance;
  const rSquared = costVariance === 0 ? 1 : (slope * covariance) / costVariance;
  return { intercept: meanCost - slope * meanSize, slope, rSquared };
}

/** Cost that a fitted line predicts at a size. */
export function estimateCost(line: LinearFit, size: number): number {
  return line.intercept + line.slope * size;
}
