/** Requests at an engine that its agent has granted no place for. */
export interface ForeignLoad {
  /** Takes what the engine reports beside the places that are taken at that moment. */
  report(requests: number, taken: number): void;
  readonly requests: number;
}

/**
 * Creates the count at zero.
 *
 * @remarks
 * Answers an agent that restarts beside a busy engine: it knows nothing of the places that it
 * granted before, and would grant them again. A request that has just ended may still be in one
 * report, so only what two reports in a row show counts.
 */
export function createForeignLoad(): ForeignLoad {
  let last = 0;
  let present = 0;
  return {
    report: (requests, taken) => {
      const unknown = Math.max(0, requests - taken);
      present = Math.min(unknown, last);
      last = unknown;
    },
    get requests() {
      return present;
    },
  };
}
