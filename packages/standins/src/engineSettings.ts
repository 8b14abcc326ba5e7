/** Settings of an engine stand-in. */
export interface EngineSettings {
  /** Sequences that run at the same time. */
  readonly capacity: number;
  readonly stepMilliseconds: number;
  readonly stepMillisecondsPerSequence: number;
  readonly prefillMillisecondsPerBlock: number;
  readonly cacheBlocks: number;
  readonly loadLagMilliseconds: number;
  readonly eventLagMilliseconds: number;
  /** Share of cache events that are never published, 0 to 1. */
  readonly eventLoss: number;
  /** Time that a load order takes once no sequence runs. */
  readonly loadMilliseconds: number;
  /** Whether the engine refuses orders with a lower fencing number than one it has seen. */
  readonly checksFencing: boolean;
  /** Whether a load order takes effect in the middle of running sequences. */
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
