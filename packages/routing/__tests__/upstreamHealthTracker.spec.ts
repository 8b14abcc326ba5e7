import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  createUpstreamHealthTracker,
  type UpstreamHealthTracker,
} from '../src/upstreamHealthTracker.js';

/** Records errors at a time until an upstream counts as failing, and returns their number. */
function failUntilMarked(tracker: UpstreamHealthTracker, now: number): number {
  let errors = 0;
  while (!tracker.isFailing('u', now)) {
    tracker.recordAttempt('u', 'failed', now);
    errors += 1;
  }
  return errors;
}

describe('the health of an upstream that answers with errors', () => {
  it('marks it once most of its latest answers are errors, without suspending it', () => {
    const tracker = createUpstreamHealthTracker();
    const errors = failUntilMarked(tracker, 0);
    assert.ok(errors > 2 && errors < 10, `${errors} errors`);
    assert.equal(tracker.isSuspended('u', 0), false);
  });

  it('does not mark it for a share of errors that is usual for its service', () => {
    const tracker = createUpstreamHealthTracker();
    for (let request = 0; request < 1_000; request += 1) {
      tracker.recordAttempt('u', request % 5 === 0 ? 'failed' : 'answered', request);
      assert.equal(tracker.isFailing('u', request), false);
    }
  });

  it('tries it again after longer and longer times, and at once when it has recovered', () => {
    const tracker = createUpstreamHealthTracker();
    failUntilMarked(tracker, 0);
    for (const [from, until] of [
      [0, 1_000],
      [1_000, 3_000],
      [3_000, 7_000],
      [7_000, 11_000],
    ] as const) {
      assert.equal(tracker.isFailing('u', until - 1), true, `from ${from} ms`);
      assert.equal(tracker.isFailing('u', until), false, `from ${from} ms`);
      tracker.recordAttempt('u', 'failed', until);
    }
    tracker.recordAttempt('u', 'answered', 15_000);
    assert.equal(tracker.isFailing('u', 15_000), false);
  });

  it('fades, so that an upstream that was avoided is tried again', () => {
    const tracker = createUpstreamHealthTracker();
    failUntilMarked(tracker, 0);
    assert.ok(tracker.failureRate('u', 0) > 0.5);
    assert.ok(tracker.failureRate('u', 5_000) < 0.1);
  });

  it('is not marked for longer by answers to requests that were sent before', () => {
    const tracker = createUpstreamHealthTracker();
    failUntilMarked(tracker, 0);
    for (let request = 0; request < 20; request += 1) tracker.recordAttempt('u', 'failed', 500);
    assert.equal(tracker.isFailing('u', 1_000), false);
  });
});
