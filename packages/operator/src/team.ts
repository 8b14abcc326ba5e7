/** Limits of a team; a limit that is left out does not bound the team. */
export interface TeamLimits {
  /** Weight of the team when capacity is short; 1 when left out. */
  readonly share?: number;
  readonly requestsPerSecond?: number;
  /** Requests in progress at the same time. */
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
