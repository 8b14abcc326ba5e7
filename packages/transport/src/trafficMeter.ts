/** Counts the bytes that a process sends by family of message, such as `membership`. */
export interface TrafficMeter {
  /** Adds the bytes of one frame of a kind such as `membership.announce`. */
  add(kind: string, bytes: number): void;
  /** Bytes sent since the start of the process by family. */
  readonly sentByFamily: Readonly<Record<string, number>>;
}

/** Creates a meter at zero. */
export function createTrafficMeter(): TrafficMeter {
  const sent = new Map<string, number>();
  return {
    add: (kind, bytes) => {
      const end = kind.indexOf('.');
      const family = end < 0 ? kind : kind.slice(0, end);
      sent.set(family, (sent.get(family) ?? 0) + bytes);
    },
    get sentByFamily() {
      return Object.fromEntries(sent);
    },
  };
}
