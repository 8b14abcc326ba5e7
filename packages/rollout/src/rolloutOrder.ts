import { createHash } from 'node:crypto';
import type { Digest } from '@burdockrail/common/digest.js';
import { distanceBetween, type RolloutLayout, type RolloutMember } from './rolloutLayout.js';

/** Hexadecimal digits of a 32-bit number. */
const UINT32_DIGITS = 8;

/** Mixes two 32-bit numbers into one, so that every bit of both counts (murmur3 finalizer). */
function mix(left: number, right: number): number {
  let mixed = left ^ right;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

function hashOf(digest: Digest): number {
  return Number.parseInt(digest.slice(0, UINT32_DIGITS), 16);
}

/** 32-bit hash of an agent's name, an input of its scores. */
export function memberHash(agent: string): number {
  return createHash('sha256').update(agent).digest().readUInt32BE(0);
}

/** Symmetric score of two agents for each other. */
export function pairScore(left: number, right: number): number {
  return mix(Math.min(left, right), Math.imul(Math.max(left, right), 0x9e3779b1));
}

/** Agents that fetch one chunk into their part of the fleet, by rendezvous hashing. */
export interface ChunkLeaders {
  /** First in the order of all members; reads the chunk from the origin. */
  readonly overall: RolloutMember;
  /** First in the order among the members of the agent's region. */
  readonly ofRegion: RolloutMember;
  /** First in the order among the members of the agent's data centre. */
  readonly ofDataCentre: RolloutMember;
}

/** Rendezvous order of the members of a layout for each chunk. */
export interface RolloutOrder {
  leaders(chunk: Digest): ChunkLeaders;
  /** Number of members that precede the agent itself in the order of a chunk. */
  rank(chunk: Digest): number;
  /** First complete member outside the agent's data centre; those of its region come first. */
  completeSource(chunk: Digest): RolloutMember | undefined;
}

/**
 * Creates the order of a layout.
 *
 * @remarks
 * Agents that know the same members compute the same leaders without any message. When a member
 * leaves, each of its chunks passes to the next in the order of that chunk. A score costs only a few
 * integer operations because it is computed for every member and chunk.
 */
export function createRolloutOrder(layout: RolloutLayout): RolloutOrder {
  const { self } = layout;
  const scored = layout.members.map((member) => ({ member, hash: memberHash(member.agent) }));
  const ownHash = memberHash(self.agent);
  const completeOthers = scored.filter(({ member }) => member.isComplete && member !== self);

  return {
    leaders: (chunk) => {
      const chunkHash = hashOf(chunk);
      const leaders = { overall: self, ofRegion: self, ofDataCentre: self };
      const bestScores = { overall: -1, ofRegion: -1, ofDataCentre: -1 };
      const considerLeader = (
        scope: keyof ChunkLeaders,
        member: RolloutMember,
        score: number,
      ): void => {
        if (score <= bestScores[scope]) return;
        bestScores[scope] = score;
        leaders[scope] = member;
      };
      for (const { member, hash } of scored) {
        const score = mix(hash, chunkHash);
        const distance = distanceBetween(self, member);
        considerLeader('overall', member, score);
        if (distance !== 'beyond') considerLeader('ofRegion', member, score);
        if (distance === 'data-centre') considerLeader('ofDataCentre', member, score);
      }
      return leaders;
    },
    rank: (chunk) => {
      const chunkHash = hashOf(chunk);
      const ownScore = mix(ownHash, chunkHash);
      return scored.filter(({ hash }) => mix(hash, chunkHash) > ownScore).length;
    },
    completeSource: (chunk) => {
      const chunkHash = hashOf(chunk);
      const firstAtDistance = (distance: string): RolloutMember | undefined => {
        const candidates = completeOthers.filter(
          ({ member }) => distanceBetween(self, member) === distance,
        );
        candidates.sort((left, right) => mix(right.hash, chunkHash) - mix(left.hash, chunkHash));
        return candidates[0]?.member;
      };
      return firstAtDistance('region') ?? firstAtDistance('beyond');
    },
  };
}
