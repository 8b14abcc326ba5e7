/** Retries that each first attempt earns. */
const RETRIES_PER_REQUEST = 0.15;

/** Retries that a process may make before it has seen any request. */
const INITIAL_RETRIES = 3;

/** Most retries that can be saved up. */
const MAXIMUM_RETRIES = 20;

/** Bounds retries by a share of the requests, so that failures do not multiply the load. */
export interface RetryBudget {
  /** Earns for one new request. */
  deposit(): void;
  /** Takes one retry if there is one. */
  trySpend(): boolean;
}

/** Creates a budget. */
export function createRetryBudget(): RetryBudget {
  let retries = INITIAL_RETRIES;
  return {
    deposit: () => {
      retries = Math.min(MAXIMUM_RETRIES, retries + RETRIES_PER_REQUEST);
    },
    trySpend: () => {
      if (retries < 1) return false;
      retries -= 1;
      return true;
    },
  };
}
