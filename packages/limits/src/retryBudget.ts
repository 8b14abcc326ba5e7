/** Retries that each new request adds to the budget. */
const RETRIES_PER_REQUEST = 0.15;

/** Retries available before the first request. */
const INITIAL_RETRIES = 3;

/** Most retries that can accumulate. */
const MAXIMUM_RETRIES = 20;

/** Limits retries to a share of the requests, so that failures do not multiply the load. */
export interface RetryBudget {
  /** Adds the retries earned by one new request. */
  recordRequest(): void;
  /** Takes one retry; returns false when the budget is exhausted. */
  trySpend(): boolean;
}

export function createRetryBudget(): RetryBudget {
  let retries = INITIAL_RETRIES;
  return {
    recordRequest: () => {
      retries = Math.min(MAXIMUM_RETRIES, retries + RETRIES_PER_REQUEST);
    },
    trySpend: () => {
      if (retries < 1) return false;
      retries -= 1;
      return true;
    },
  };
}
