/** Requests at an engine that hold no slot granted by its agent. */
export interface UntrackedRequests {
  /** Records the requests that the engine reports and the slots taken at that moment. */
  recordReport(requests: number, taken: number): void;
  readonly count: number;
}

/**
 * Creates a counter that starts at zero.
 *
 * @remarks
 * An agent that restarts beside a busy engine has lost the slots that it granted and would grant
 * them again. A request that has just ended may still be in one report, so only requests that two
 * consecutive reports show are counted.
 */
export function createUntrackedRequests(): UntrackedRequests {
  let previousUntracked = 0;
  let confirmedRequests = 0;
  return {
    recordReport: (requests, taken) => {
      const untracked = Math.max(0, requests - taken);
      confirmedRequests = Math.min(untracked, previousUntracked);
      previousUntracked = untracked;
    },
    get count() {
      return confirmedRequests;
    },
  };
}
