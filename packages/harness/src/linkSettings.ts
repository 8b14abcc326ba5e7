/** Latency and bandwidth of the links between the machines of a system. */
export interface LinkSettings {
  /** One-way latency between machines of one data centre, in milliseconds. */
  readonly withinDataCentreMilliseconds?: number;
  /** One-way latency between data centres of one region, in milliseconds. */
  readonly betweenDataCentresMilliseconds?: number;
  /** One-way latency between regions, in milliseconds. */
  readonly betweenRegionsMilliseconds?: number;
  /** One-way latency between callers and entries, in milliseconds. */
  readonly clientMilliseconds?: number;
  /** Bandwidth of each machine's link in each direction, in bytes per second. */
  readonly machineBytesPerSecond?: number;
  /** Bandwidth between each pair of regions in each direction, in bytes per second. */
  readonly regionPairBytesPerSecond?: number;
  /** Egress bandwidth of the origin, in bytes per second. */
  readonly originBytesPerSecond?: number;
  /** Whether the proxy runs in a separate process. */
  readonly separateProxyProcess?: boolean;
}
