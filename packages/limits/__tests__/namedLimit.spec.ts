import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { createLimitShare } from '../src/limitShare.js';
import { createNamedLimit } from '../src/namedLimit.js';

const WINDOW_MILLISECONDS = 4_000;

/** Requests that the users allow in a window for a limit of so many requests a second. */
const allowed = (requestsPerSecond: number): number =>
  1.5 * requestsPerSecond * (WINDOW_MILLISECONDS / 1_000) + 5;

function mostInWindow(times: readonly number[]): number {
  let most = 0;
  let first = 0;
  times.forEach((at, index) => {
    while ((times[first] ?? at) <= at - WINDOW_MILLISECONDS) first += 1;
    most = Math.max(most, index - first + 1);
  });
  return most;
}

describe('a limit kept by one process', () => {
  it('allows what the upstream takes in every window, however requests arrive', () => {
    fc.assert(
      fc.property(
        fc.double({ min: 0, max: 50, noNaN: true }),
        fc.array(fc.integer({ min: 0, max: 400 }), { maxLength: 400 }),
        (requestsPerSecond, gaps) => {
          const limit = createNamedLimit();
          limit.set(requestsPerSecond, 0);
          let now = 0;
          const passed: number[] = [];
          for (const gap of gaps) {
            now += gap;
            if (limit.take(now) === 0) passed.push(now);
          }
          assert.ok(mostInWindow(passed) <= allowed(requestsPerSecond));
        },
      ),
    );
  });

  it('lets requests pass at the named rate, and all without a limit', () => {
    const limit = createNamedLimit();
    const passedIn = (from: number): number =>
      Array.from({ length: 1_000 }, (_value, index) => limit.take(from + index * 10)).filter(
        (wait) => wait === 0,
      ).length;
    assert.equal(passedIn(0), 1_000);
    limit.set(1.5, 10_000);
    assert.ok(Math.abs(passedIn(10_000) - 15) <= 1);
    limit.set(null, 20_000);
    assert.equal(passedIn(20_000), 1_000);
  });

  it('lets a request pass now and then at a limit of 0, so that it can be lifted', () => {
    const limit = createNamedLimit();
    limit.set(0, 0);
    assert.equal(limit.take(0), 0);
    const wait = limit.take(1);
    assert.ok(wait > 0 && wait < 10_000, `${wait}`);
    assert.equal(limit.take(1 + wait), 0);
  });

  it('returns what was taken for a request that was not sent', () => {
    const limit = createNamedLimit();
    limit.set(1, 0);
    assert.equal(limit.take(0), 0);
    limit.giveBack();
    assert.equal(limit.take(0), 0);
    assert.ok(limit.take(0) > 0);
  });
});

describe('the shares of a limit that entries keep without a common process', () => {
  const ENTRIES = 20;

  /** Requests of all entries that pass, sent every 100 ms by each entry. */
  function passedRequests(requestsPerSecond: number, quietUntil = 0): number[] {
    const shares = Array.from({ length: ENTRIES }, () => createLimitShare());
    const passed: number[] = [];
    for (let now = quietUntil; now < quietUntil + 60_000; now += 100)
      shares.forEach((share, index) => {
        const rank = { index, entries: ENTRIES };
        if (share.take(requestsPerSecond, rank, now) === 0) passed.push(now);
      });
    return passed;
  }

  it('add up to the limit, also when it allows less than one request for each entry', () => {
    for (const requestsPerSecond of [1, 1.4, 5, 30]) {
      const perSecond = passedRequests(requestsPerSecond).length / 60;
      assert.ok(perSecond > 0.8 * requestsPerSecond, `${perSecond} of ${requestsPerSecond}`);
      assert.ok(perSecond < 1.2 * requestsPerSecond, `${perSecond} of ${requestsPerSecond}`);
    }
  });

  it('are not saved up while no requests come', () => {
    for (const requestsPerSecond of [0.5, 1, 1.4, 5, 30])
      for (const quietUntil of [1e6, 1e6 + 1_234, 1.7e12]) {
        const most = mostInWindow(passedRequests(requestsPerSecond, quietUntil));
        assert.ok(most <= allowed(requestsPerSecond), `${most} of ${requestsPerSecond} a second`);
      }
  });
});
