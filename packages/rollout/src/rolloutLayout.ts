import type { Address } from '@burdockrail/protocol/protocolAddress.js';

/** An agent that takes part in the rollout of one version. */
export interface RolloutMember {
  readonly agent: string;
  readonly address: Address;
  readonly dataCentre: string;
  readonly region: string;
  /** True when its engine serves the version, so that it holds every chunk. */
  readonly isComplete: boolean;
}

/** The members of a rollout, from the point of view of one of them. */
export interface RolloutLayout {
  readonly self: RolloutMember;
  /** All members, the agent itself among them, in order of their names. */
  readonly members: readonly RolloutMember[];
}

/** Closest part of the topology that two members share; `beyond` when not even the region. */
export type Distance = 'data-centre' | 'region' | 'beyond';

/** Creates a layout; the given order of the members does not matter. */
export function createLayout(self: RolloutMember, others: readonly RolloutMember[]): RolloutLayout {
  const members = [self, ...others.filter(({ agent }) => agent !== self.agent)];
  members.sort((left, right) => (left.agent < right.agent ? -1 : 1));
  return { self, members };
}

/** Returns the distance between two members. */
export function distanceBetween(left: RolloutMember, right: RolloutMember): Distance {
  if (left.dataCentre === right.dataCentre) return 'data-centre';
  return left.region === right.region ? 'region' : 'beyond';
}

/** Finds a member by its name. */
export function findMember(layout: RolloutLayout, agent: string): RolloutMember | undefined {
  return layout.members.find((member) => member.agent === agent);
}
