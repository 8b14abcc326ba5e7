import type { EventQueue } from './eventQueue.js';
import type { LinkMachine } from './linkMachine.js';
import { createSharedLink, type SharedLink } from './sharedLink.js';

/** Latencies and rates of the links without rules. */
export interface LinkShape {
  readonly withinDataCentreMilliseconds: number;
  readonly betweenDataCentresMilliseconds: number;
  readonly betweenRegionsMilliseconds: number;
  /** Latency to and from machines outside all regions, such as callers. */
  readonly outsideMilliseconds: number;
  /** Rate between each two regions in each direction; unlimited by default. */
  readonly regionPairBytesPerSecond?: number;
}

/** Region of machines outside all regions; their traffic uses no link between regions. */
export const OUTSIDE_REGION = 'outside';

/** Links without latency and with unlimited rates. */
export const unlimitedLinkShape: LinkShape = {
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

/** Returns the rate-limited links on the path between two machines, in order. */
export type PathFinder = (from: LinkMachine, to: LinkMachine) => readonly SharedLink[];

/** Creates the links of each machine, and one for each direction between two regions. */
export function createPathFinder(shape: LinkShape, events: EventQueue): PathFinder {
  const linksByKey = new Map<string, SharedLink>();
  const sharedLinks = (key: string, rate: number | undefined): readonly SharedLink[] => {
    if (rate === undefined) return [];
    const link = linksByKey.get(key) ?? createSharedLink(rate, events);
    linksByKey.set(key, link);
    return [link];
  };
  const regionLinks = (from: LinkMachine, to: LinkMachine): readonly SharedLink[] => {
    const isOutside = from.region === OUTSIDE_REGION || to.region === OUTSIDE_REGION;
    if (isOutside || from.region === to.region) return [];
    return sharedLinks(`region ${from.region} ${to.region}`, shape.regionPairBytesPerSecond);
  };
  return (from, to) => {
    if (from.name === to.name) return [];
    return [
      ...sharedLinks(`egress ${from.name}`, from.egressBytesPerSecond),
      ...regionLinks(from, to),
      ...sharedLinks(`ingress ${to.name}`, to.ingressBytesPerSecond),
    ];
  };
}
