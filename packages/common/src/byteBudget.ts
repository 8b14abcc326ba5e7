/** Memory that several buffers share. */
export interface ByteBudget {
  /** Reserves bytes; false, and nothing reserved, when the budget would be exceeded. */
  tryReserve(bytes: number): boolean;
  release(bytes: number): void;
}

/**
 * Creates an unused budget.
 *
 * @remarks
 * A bound for each buffer alone does not bound the process: upstreams in trouble may send bytes
 * without end on many connections at once.
 */
export function createByteBudget(maximumBytes: number): ByteBudget {
  let reservedBytes = 0;
  return {
    tryReserve: (bytes) => {
      if (reservedBytes + bytes > maximumBytes) return false;
      reservedBytes += bytes;
      return true;
    },
    release: (bytes) => {
      reservedBytes = Math.max(0, reservedBytes - bytes);
    },
  };
}
