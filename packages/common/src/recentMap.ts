/** Map that keeps the entries set last; the oldest is dropped when it is full. */
export interface RecentMap<Value> extends Iterable<readonly [string, Value]> {
  get(key: string): Value | undefined;
  has(key: string): boolean;
  /** Sets an entry and makes it the newest. */
  set(key: string, value: Value): void;
  /** Returns whether the key was present. */
  delete(key: string): boolean;
}

/** Creates an empty map of at most `maximumSize` entries. */
export function createRecentMap<Value>(maximumSize: number): RecentMap<Value> {
  const entries = new Map<string, Value>();
  return {
    get: (key) => entries.get(key),
    has: (key) => entries.has(key),
    set: (key, value) => {
      entries.delete(key);
      entries.set(key, value);
      const [oldest] = entries.keys();
      if (entries.size > maximumSize && oldest !== undefined) entries.delete(oldest);
    },
    delete: (key) => entries.delete(key),
    [Symbol.iterator]: () => entries[Symbol.iterator](),
  };
}
