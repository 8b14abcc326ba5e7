/** Milliseconds since an arbitrary origin; only differences within one process have a meaning. */
export type Milliseconds = number;

/** Present time for drivers; functions that decide take the time itself as an argument. */
export interface TimeSource {
  /** Monotonic time in milliseconds. */
  now(): Milliseconds;
}

/** Monotonic time of this process. */
export const processTime: TimeSource = { now: () => performance.now() };
