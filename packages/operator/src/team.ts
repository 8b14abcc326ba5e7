/** Limits of a team; an omitted rate or concurrency limit means no limit. */
export interface TeamLimits {
  /** Weight of the team when capacity is short; defaults to 1. */
  readonly share?: number;
  readonly requestsPerSecond?: number;
  /** Maximum number of requests in progress. */
  readonly concurrency?: number;
}

/** A declared team. */
export interface TeamDefinition extends TeamLimits {
  readonly name: string;
}

/** Declares a team of callers and its limits. */
export function team(name: string, limits: TeamLimits = {}): TeamDefinition {
  return { name, ...limits };
}
