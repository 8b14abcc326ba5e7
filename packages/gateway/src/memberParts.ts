import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/**
 * Time for which a member that was removed may go on dividing its part, in milliseconds: it doesn't
 * know of the removal while it is cut off.
 */
const FORMER_MEMBER_MILLISECONDS = 120_000;

/** Parts into which the members of a group divide what all entries may spend together. */
export interface MemberParts {
  /** Number of equal parts, of which each member holds one. */
  count(members: readonly string[], now: Milliseconds): number;
}

/** Creates the parts of a group of which nothing is known. */
export function createMemberParts(): MemberParts {
  const memberUntil = new Map<string, Milliseconds>();
  return {
    count: (members, now) => {
      for (const member of members) memberUntil.set(member, now);
      for (const [member, until] of memberUntil)
        if (now - until > FORMER_MEMBER_MILLISECONDS) memberUntil.delete(member);
      return memberUntil.size;
    },
  };
}
