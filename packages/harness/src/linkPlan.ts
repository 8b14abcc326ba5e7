/** Shapes of the links between the machines of a system. */
export interface LinkPlan {
  /** One-way latency between machines of one data centre, in milliseconds. */
  readonly withinDataCentreMilliseconds?: number;
  /** One-way latency between data centres of one region, in milliseconds. */
  readonly betweenDataCentresMilliseconds?: number;
  /** One-way latency between regions, in milliseconds. */
  readonly betweenRegionsMilliseconds?: number;
  /** One-way latency between callers and entries, in milliseconds. */
  readonly clientMilliseconds?: number;
  /** Rate of each machine's link, each way, in bytes a second. */
  readonly machineBytesPerSecond?: number;
  /** Rate between each two regions, each way and for all traffic, in bytes a second. */
  readonly regionPairBytesPerSecond?: number;
  /** Rate at which the origin sends, in bytes a second. */
  readonly originBytesPerSecond?: number;
  /** Whether the proxy runs in a process of its own. */
  readonly ownProcess?: boolean;
}
