/** What an entry knows of an engine whose agent grants no places. */
export interface UngrantedEngine {
  readonly slots: number;
  /** Entries that may use the engine in the same way. */
  readonly entries: number;
  /** Requests that this entry has there. */
  readonly ownRequests: number;
  /** Number in [0, 1). */
  readonly draw: number;
}

/** Share of an engine's slots that entries take in all when nobody grants them. */
const SLOTS_SHARE = 0.5;

/**
 * Whether an entry may use one more slot without a grant.
 *
 * @remarks
 * Answers an agent that is gone beside an engine that works. There are more entries than slots, so
 * that a whole slot for each would be many times too much: the part that is left over by whole ones
 * is drawn.
 */
export function mayTakeUngranted(engine: UngrantedEngine): boolean {
  const part = (engine.slots * SLOTS_SHARE) / Math.max(1, engine.entries);
  const whole = Math.floor(part);
  return engine.ownRequests < whole + (engine.draw < part - whole ? 1 : 0);
}
