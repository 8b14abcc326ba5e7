import { createHash } from 'node:crypto';

/** Leading digest bytes that form a score. */
const SCORE_BYTES = 6;

/** Score of a member for a key; equal in all processes. */
export function rendezvousScore(key: string, member: string): number {
  const digest = createHash('sha256').update(key).update('\0').update(member).digest();
  return digest.readUIntBE(0, SCORE_BYTES);
}

/**
 * Orders members by their score for a key, highest first (rendezvous hashing).
 *
 * @remarks
 * Each key has its own order. Adding or removing a member does not change the relative order of
 * the other members.
 */
export function rendezvousOrder<Member>(
  key: string,
  members: readonly Member[],
  nameOf: (member: Member) => string,
): readonly Member[] {
  const scored = members.map((member) => ({
    member,
    name: nameOf(member),
    score: rendezvousScore(key, nameOf(member)),
  }));
  scored.sort((left, right) => right.score - left.score || (left.name < right.name ? -1 : 1));
  return scored.map((item) => item.member);
}
