import type { Milliseconds } from '@burdockrail/common/timeSource.js';

interface PromptSpan {
  readonly startsAt: Milliseconds;
  readonly endsAt: Milliseconds;
}

/** Prompts that an engine has been given and is expected to read one after the other. */
export interface PrefillBacklog {
  /** Adds the prompt of a slot, which takes the engine so many milliseconds. */
  add(slot: number, milliseconds: Milliseconds, now: Milliseconds): void;
  /** Removes what the engine has not read of a prompt by the end of its request. */
  remove(slot: number, now: Milliseconds): void;
  /** Time until the engine has read all prompts, in milliseconds. */
  remaining(now: Milliseconds): Milliseconds;
  /** Time at which the engine has read all prompts. */
  readonly endsAt: Milliseconds;
  /** Removes all prompts. */
  clear(now: Milliseconds): void;
}

/**
 * Creates an empty backlog.
 *
 * @remarks
 * A request may end before its prompt is read: the engine rejects it, its caller leaves, or its prompt
 * was declared larger than it is. The prompts behind it then move up.
 */
export function createPrefillBacklog(): PrefillBacklog {
  const spans = new Map<number, PromptSpan>();
  let endsAt = Number.NEGATIVE_INFINITY;
  return {
    add: (slot, milliseconds, now) => {
      const startsAt = Math.max(now, endsAt);
      endsAt = startsAt + milliseconds;
      spans.set(slot, { startsAt, endsAt });
    },
    remove: (slot, now) => {
      const removed = spans.get(slot);
      spans.delete(slot);
      if (removed === undefined) return;
      const unread = removed.endsAt - Math.max(now, removed.startsAt);
      if (unread <= 0) return;
      for (const [other, span] of spans) {
        if (span.startsAt >= removed.endsAt)
          spans.set(other, { startsAt: span.startsAt - unread, endsAt: span.endsAt - unread });
      }
      endsAt -= unread;
    },
    remaining: (now) => Math.max(0, endsAt - now),
    get endsAt() {
      return endsAt;
    },
    clear: (now) => {
      spans.clear();
      endsAt = now;
    },
  };
}
