import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { createSlackShare, SHARE_HELD_MILLISECONDS, type SlackShare } from '../src/slackShare.js';

const WINDOW_MILLISECONDS = 10_000;
const STEP_MILLISECONDS = 250;

/** One step of an entry: it reaches a control process, reaches none, or starts again. */
type EntryStep =
  | { readonly kind: 'watch'; readonly control: number }
  | { readonly kind: 'cutOff' }
  | { readonly kind: 'restart' };

const CONTROLS = 3;

const entryStep: fc.Arbitrary<EntryStep> = fc.oneof(
  {
    weight: 12,
    arbitrary: fc.record({ kind: fc.constant('watch'), control: fc.nat(CONTROLS - 1) }),
  },
  { weight: 4, arbitrary: fc.constant({ kind: 'cutOff' } as const) },
  { weight: 1, arbitrary: fc.constant({ kind: 'restart' } as const) },
);

/** What an entry does for a time that is a multiple of the step. */
const entryPlan = fc.array(fc.tuple(entryStep, fc.integer({ min: 1, max: 60 })), {
  minLength: 1,
  maxLength: 8,
});

/**
 * Plays entries that spend their whole part at once whenever they hold one, and returns the most
 * that was spent in any window, in parts of the whole.
 */
function mostSpentInWindow(plans: readonly (readonly (readonly [EntryStep, number])[])[]): number {
  const steps = plans.map((plan) =>
    plan.flatMap(([step, count]): readonly EntryStep[] =>
      step.kind === 'restart'
        ? [step, ...Array.from({ length: count }, () => ({ kind: 'watch', control: 0 }) as const)]
        : Array.from({ length: count }, () => step),
    ),
  );
  const seenAt = Array.from({ length: CONTROLS }, () => new Map<string, number>());
  const entries = plans.map((_plan, index) => {
    return {
      name: `entry-${index}`,
      lives: 1,
      share: createSlackShare(WINDOW_MILLISECONDS),
      spent: [] as { readonly at: number; readonly part: number }[],
    };
  });
  const all: { readonly at: number; readonly part: number }[] = [];
  const spentSince = (list: readonly { at: number; part: number }[], since: number): number =>
    list.filter(({ at }) => at > since).reduce((sum, { part }) => sum + part, 0);
  let most = 0;
  const length = Math.max(...steps.map((list) => list.length));
  for (let index = 0; index < length; index += 1) {
    const now = index * STEP_MILLISECONDS;
    // All calls of a step arrive before the first of them is answered.
    entries.forEach((entry, entryIndex) => {
      const step = steps[entryIndex]?.[index] ?? { kind: 'watch', control: 0 };
      if (step.kind === 'restart') {
        entry.lives += 1;
        entry.share = createSlackShare(WINDOW_MILLISECONDS);
        entry.spent = [];
      }
      if (step.kind === 'watch') seenAt[step.control]?.set(`${entry.name}/${entry.lives}`, now);
    });
    entries.forEach((entry, entryIndex) => {
      const step = steps[entryIndex]?.[index] ?? { kind: 'watch', control: 0 };
      if (step.kind === 'watch') {
        const seen = [...(seenAt[step.control]?.values() ?? [])];
        const own = seen.filter((at) => now - at < SHARE_HELD_MILLISECONDS).length;
        entry.share.record(CONTROLS * Math.max(1, own), String(step.control), now);
      }
      const left = entry.share.part(now) - spentSince(entry.spent, now - WINDOW_MILLISECONDS);
      if (left <= 0) return;
      entry.spent.push({ at: now, part: left });
      all.push({ at: now, part: left });
    });
    most = Math.max(most, spentSince(all, now - WINDOW_MILLISECONDS));
  }
  return most;
}

/** Time for which an entry holds nothing after it has joined, in milliseconds. */
const JOINING_MILLISECONDS = WINDOW_MILLISECONDS + SHARE_HELD_MILLISECONDS;

/** The share of an entry that joined in time to hold one of some shares at 0 ms. */
function createJoinedShare(shares: number): SlackShare {
  const share = createSlackShare(WINDOW_MILLISECONDS);
  for (let now = -JOINING_MILLISECONDS; now <= 0; now += STEP_MILLISECONDS)
    share.record(shares, 'control', now);
  return share;
}

describe('the share of the slack', () => {
  it('is one of those that the control process names', () => {
    assert.equal(createJoinedShare(15).part(1), 1 / 15);
    assert.equal(createSlackShare(WINDOW_MILLISECONDS).part(1), 0);
  });

  it('stays the smallest of the last window, since others may have spent what is divided anew', () => {
    const share = createJoinedShare(15);
    for (let now = 500; now < 20_000; now += 500) {
      share.record(3, 'control', now);
      const isForgotten = now >= JOINING_MILLISECONDS;
      assert.equal(share.part(now), isForgotten ? 1 / 3 : 1 / 15, `at ${now} ms`);
    }
  });

  it('is lost when the control process stops counting the entry', () => {
    const share = createJoinedShare(15);
    assert.equal(share.part(SHARE_HELD_MILLISECONDS - 1), 1 / 15);
    assert.equal(share.part(SHARE_HELD_MILLISECONDS), 0);
  });

  it('is not held for a window after the entry joins', () => {
    const share = createSlackShare(WINDOW_MILLISECONDS);
    for (let now = 0; now < 15_000; now += 500) {
      share.record(15, 'control', now);
      assert.equal(share.part(now), now < JOINING_MILLISECONDS ? 0 : 1 / 15, `at ${now} ms`);
    }
  });

  it('is not held for a window after the entry was out of contact', () => {
    const share = createJoinedShare(15);
    for (let now = 3_000; now < 18_000; now += 500) {
      share.record(15, 'control', now);
      const isHeld = now >= 3_000 + JOINING_MILLISECONDS;
      assert.equal(share.part(now), isHeld ? 1 / 15 : 0, `at ${now} ms`);
    }
  });

  it('is kept by an entry that changes to another control process', () => {
    const share = createJoinedShare(15);
    share.record(12, 'other', 500);
    assert.equal(share.part(500), 1 / 15);
  });

  it('is not held by an entry that changes before it has joined one', () => {
    const share = createSlackShare(WINDOW_MILLISECONDS);
    for (let now = 0; now < 20_000; now += 500) {
      share.record(15, now < 10_000 ? 'control' : 'other', now);
      assert.equal(share.part(now), 0, `at ${now} ms`);
    }
  });

  it('is none where the control process has nothing to divide or is of an earlier version', () => {
    const share = createSlackShare(WINDOW_MILLISECONDS);
    for (let now = 0; now <= JOINING_MILLISECONDS; now += STEP_MILLISECONDS) {
      share.record(null, 'control', now);
      share.record(undefined as unknown as null, 'control', now);
      assert.equal(share.part(now), 0);
    }
  });
});

describe('the shares of all entries', () => {
  it('add up to the whole in any window, however entries move, start again or are cut off', () => {
    const plans = fc.array(entryPlan, { minLength: 1, maxLength: 8 });
    fc.assert(
      fc.property(plans, (drawn) => {
        const most = mostSpentInWindow(drawn);
        assert.ok(most <= 1 + 1e-9, `${most} of the whole`);
      }),
      { numRuns: 1_000, seed: 31 },
    );
  });
});
