/** Retries that each new request adds to the budget of its service. */
const RETRIES_PER_REQUEST = 0.15;

/** Retries to a service available before its first request. */
const INITIAL_RETRIES = 3;

/** Most retries to a service that can accumulate. */
const MAXIMUM_RETRIES = 20;

/** Limits retries to a share of the requests of each service, so that failures do not multiply its load. */
export interface RetryBudget {
  /** Adds the retries earned by one new request. */
  recordRequest(service: string): void;
  /** Takes one retry; returns false when the budget of the service is exhausted. */
  trySpend(service: string): boolean;
}

export function createRetryBudget(): RetryBudget {
  const retriesByService = new Map<string, number>();
  const retriesOf = (service: string): number => retriesByService.get(service) ?? INITIAL_RETRIES;
  return {
    recordRequest: (service) => {
      const retries = Math.min(MAXIMUM_RETRIES, retriesOf(service) + RETRIES_PER_REQUEST);
      retriesByService.set(service, retries);
    },
    trySpend: (service) => {
      const retries = retriesOf(service);
      if (retries < 1) return false;
      retriesByService.set(service, retries - 1);
      return true;
    },
  };
}
