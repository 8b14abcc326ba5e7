import { createHash } from 'node:crypto';
import type { Digest } from '@burdockrail/common/digest.js';
import { distanceBetween, type RolloutLayout, type RolloutMember } from './rolloutLayout.js';

/** Hexadecimal digits of a digest that make up a 32-bit number. */
const UINT32_DIGITS = 8;

/** Mixes two 32-bit numbers into one, so that every bit of both counts (murmur3 finalizer). */
function mix(left: number, right: number): number {
  let mixed = left ^ right;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

function numberOf(digest: Digest): number {
  return Number.parseInt(digest.slice(0, UINT32_DIGITS), 16);
}

/** Number of an agent's name that goes into its scores. */
export function memberNumber(agent: string): number {
  return createHash('sha256').update(agent).digest().readUInt32BE(0);
}

/** Score that two agents give each other; the same from both sides. */
export function pairScore(left: number, right: number): number {
  return mix(Math.min(left, right), Math.imul(Math.max(left, right), 0x9e3779b1));
}

/** The agents that bring one chunk into their part of the fleet. */
export interface ChunkLeaders {
  /** First of all members: it reads the chunk from the origin. */
  readonly overall: RolloutMember;
  /** First of the agent's region. */
  readonly ofRegion: RolloutMember;
  /** First of the agent's data centre. */
  readonly ofDataCentre: RolloutMember;
}

/** Rendezvous order of the members of a layout for each chunk. */
export interface RolloutOrder {
  leaders(chunk: Digest): ChunkLeaders;
  /** Count of members that come before the agent itself in the order of a chunk. */
  rank(chunk: Digest): number;
  /** The first complete member beyond the agent's data centre, the nearest before others. */
  completeSource(chunk: Digest): RolloutMember | undefined;
}

/**
 * Creates the order of a layout.
 *
 * @remarks
 * Every agent that knows the same members computes the same leaders without any message, and a
 * member that goes hands its chunks to the next in the order of each chunk. A score is a few
 * integer operations, because it is computed for every member and chunk.
 */
export function createRolloutOrder(layout: RolloutLayout): RolloutOrder {
  const { self } = layout;
  const scored = layout.members.map((member) => ({ member, number: memberNumber(member.agent) }));
  const ownNumber = memberNumber(self.agent);
  const complete = scored.filter(({ member }) => member.isComplete && member !== self);

  return {
    leaders: (chunk) => {
      const chunkNumber = numberOf(chunk);
      const leaders = { overall: self, ofRegion: self, ofDataCentre: self };
      const best = { overall: -1, ofRegion: -1, ofDataCentre: -1 };
      const offer = (place: keyof ChunkLeaders, member: RolloutMember, score: number): void => {
        if (score <= best[place]) return;
        best[place] = score;
        leaders[place] = member;
      };
      for (const { member, number } of scored) {
        const score = mix(number, chunkNumber);
        const distance = distanceBetween(self, member);
        offer('overall', member, score);
        if (distance !== 'beyond') offer('ofRegion', member, score);
        if (distance === 'data-centre') offer('ofDataCentre', member, score);
      }
      return leaders;
    },
    rank: (chunk) => {
      const chunkNumber = numberOf(chunk);
      const own = mix(ownNumber, chunkNumber);
      return scored.filter(({ number }) => mix(number, chunkNumber) > own).length;
    },
    completeSource: (chunk) => {
      const chunkNumber = numberOf(chunk);
      const firstAt = (distance: string): RolloutMember | undefined => {
        const there = complete.filter(({ member }) => distanceBetween(self, member) === distance);
        there.sort((left, right) => mix(right.number, chunkNumber) - mix(left.number, chunkNumber));
        return there[0]?.member;
      };
      return firstAt('region') ?? firstAt('beyond');
    },
  };
}
