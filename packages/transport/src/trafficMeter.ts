/** Counts the bytes that a process sends, by message family such as `membership`. */
export interface TrafficMeter {
  /** Adds the bytes of a frame of a kind such as `membership.announce`. */
  add(kind: string, bytes: number): void;
  /** Bytes sent since the start of the process, by family. */
  readonly sentByFamily: Readonly<Record<string, number>>;
}

export function createTrafficMeter(): TrafficMeter {
  const sentBytes = new Map<string, number>();
  return {
    add: (kind, bytes) => {
      const separator = kind.indexOf('.');
      const family = separator < 0 ? kind : kind.slice(0, separator);
      sentBytes.set(family, (sentBytes.get(family) ?? 0) + bytes);
    },
    get sentByFamily() {
      return Object.fromEntries(sentBytes);
    },
  };
}
