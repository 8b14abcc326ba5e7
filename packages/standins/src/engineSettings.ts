/** Settings of an engine stand-in. */
export interface EngineSettings {
  /** Maximum number of concurrent sequences. */
  readonly capacity: number;
  readonly stepMilliseconds: number;
  readonly stepMillisecondsPerSequence: number;
  readonly prefillMillisecondsPerBlock: number;
  readonly cacheBlocks: number;
  /** Age of the load that the engine reports. */
  readonly loadLagMilliseconds: number;
  /** Delay before a cache event is published. */
  readonly eventLagMilliseconds: number;
  /** Share of cache events that are lost, 0 to 1. */
  readonly eventLoss: number;
  /** Duration of a load order after all sequences have ended. */
  readonly loadMilliseconds: number;
  /** True if the engine rejects orders with a lower fencing token than the highest it has seen. */
  readonly checksFencing: boolean;
  /** True if a load order takes effect without waiting for running sequences. */
  readonly swapsWhileRunning: boolean;
}

export const defaultEngineSettings: EngineSettings = {
  capacity: 8,
  stepMilliseconds: 4,
  stepMillisecondsPerSequence: 0.5,
  prefillMillisecondsPerBlock: 2,
  cacheBlocks: 512,
  loadLagMilliseconds: 200,
  eventLagMilliseconds: 200,
  eventLoss: 0.05,
  loadMilliseconds: 20,
  checksFencing: false,
  swapsWhileRunning: false,
};
