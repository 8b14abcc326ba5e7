/** Milliseconds since an arbitrary origin; only differences within one process are meaningful. */
export type Milliseconds = number;

/** Clock for code that does I/O; decision functions take the time as an argument instead. */
export interface TimeSource {
  /** Monotonic time in milliseconds. */
  now(): Milliseconds;
}

/** Monotonic time of this process. */
export const monotonicClock: TimeSource = { now: () => performance.now() };
