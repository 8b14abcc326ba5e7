import { createHash } from 'node:crypto';

/** Bytes of the digest that make up a score. */
const SCORE_BYTES = 6;

/** Score of a member for a key; the same in every process. */
export function rendezvousScore(key: string, member: string): number {
  const digest = createHash('sha256').update(key).update('\0').update(member).digest();
  return digest.readUIntBE(0, SCORE_BYTES);
}

/**
 * Orders members by their score for a key, the highest first.
 *
 * @remarks
 * Each key has an order of its own, and a member that comes or goes changes the place of no other
 * two members relative to each other (highest random weight hashing).
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
