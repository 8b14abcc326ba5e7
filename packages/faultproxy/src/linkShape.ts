import type { EventQueue } from './eventQueue.js';
import type { LinkMachine } from './linkMachine.js';
import { createRateBucket, type RateBucket } from './rateBucket.js';

/** Shape of the links when no rule is set. */
export interface LinkShape {
  readonly withinDataCentreMilliseconds: number;
  readonly betweenDataCentresMilliseconds: number;
  readonly betweenRegionsMilliseconds: number;
  /** Latency to and from machines outside of all regions, such as callers. */
  readonly outsideMilliseconds: number;
  /** Rate between each two regions, each way; unlimited when absent. */
  readonly regionPairBytesPerSecond?: number;
}

/** Region of machines whose links are in no region's share. */
export const OUTSIDE_REGION = 'outside';

/** Links without latency or bounds. */
export const openShape: LinkShape = {
  withinDataCentreMilliseconds: 0,
  betweenDataCentresMilliseconds: 0,
  betweenRegionsMilliseconds: 0,
  outsideMilliseconds: 0,
};

/** One-way latency between two machines. */
export function baseLatency(shape: LinkShape, from: LinkMachine, to: LinkMachine): number {
  if (from.name === to.name) return 0;
  if (from.region === OUTSIDE_REGION || to.region === OUTSIDE_REGION) {
    return shape.outsideMilliseconds;
  }
  if (from.dataCentre === to.dataCentre) return shape.withinDataCentreMilliseconds;
  if (from.region === to.region) return shape.betweenDataCentresMilliseconds;
  return shape.betweenRegionsMilliseconds;
}

/** Finds the links that traffic between two machines shares with other traffic. */
export type PathFinder = (from: LinkMachine, to: LinkMachine) => readonly RateBucket[];

/** Creates the links: each machine's own, and one for each direction between two regions. */
export function createPathFinder(shape: LinkShape, events: EventQueue): PathFinder {
  const buckets = new Map<string, RateBucket>();
  const bucket = (key: string, rate: number | undefined): readonly RateBucket[] => {
    if (rate === undefined) return [];
    const known = buckets.get(key) ?? createRateBucket(rate, events);
    buckets.set(key, known);
    return [known];
  };
  const between = (from: LinkMachine, to: LinkMachine): readonly RateBucket[] => {
    const outside = from.region === OUTSIDE_REGION || to.region === OUTSIDE_REGION;
    if (outside || from.region === to.region) return [];
    return bucket(`region ${from.region} ${to.region}`, shape.regionPairBytesPerSecond);
  };
  return (from, to) => {
    if (from.name === to.name) return [];
    return [
      ...bucket(`egress ${from.name}`, from.egressBytesPerSecond),
      ...between(from, to),
      ...bucket(`ingress ${to.name}`, to.ingressBytesPerSecond),
    ];
  };
}
