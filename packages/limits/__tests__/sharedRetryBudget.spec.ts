import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  createSharedRetryBudget,
  type RetryAllowance,
  type SharedRetryBudget,
} from '../src/sharedRetryBudget.js';
import { SHARE_HELD_MILLISECONDS } from '../src/slackShare.js';

const WINDOW_MILLISECONDS = 10_000;
/** Time for which an entry holds no slack after it has joined, in milliseconds. */
const JOINING_MILLISECONDS = WINDOW_MILLISECONDS + SHARE_HELD_MILLISECONDS;

const WATCH_INTERVAL_MILLISECONDS = 500;
const allowance: RetryAllowance = {
  ratio: 0.2,
  slack: 100,
  windowMilliseconds: WINDOW_MILLISECONDS,
};

/** A budget of an entry that has run for long and holds one of some shares of the slack at 0 ms. */
function createBudget(shares: number, changes: Partial<RetryAllowance> = {}): SharedRetryBudget {
  const budget = createSharedRetryBudget({ ...allowance, ...changes });
  for (let now = -JOINING_MILLISECONDS; now <= 0; now += WATCH_INTERVAL_MILLISECONDS)
    budget.recordShares(shares, 'control', now);
  return budget;
}

/** Spends all retries of a service that are left at a time. */
function spendAll(budget: SharedRetryBudget, now: number): number {
  let spent = 0;
  while (budget.trySpend('till', now)) spent += 1;
  return spent;
}

describe('the shared retry budget', () => {
  it('keeps the retries of all entries below the allowance', () => {
    const entries = 20;
    const budgets = Array.from({ length: entries }, () => createBudget(entries));
    let retries = 0;
    let requests = 0;
    for (let now = 0; now < WINDOW_MILLISECONDS; now += 10) {
      for (const budget of budgets) {
        budget.recordShares(entries, 'control', now);
        budget.recordRequest('till', now);
        requests += 1;
        if (budget.trySpend('till', now)) retries += 1;
      }
    }
    assert.ok(retries <= 0.2 * requests + 100, `${retries} of ${requests}`);
    assert.ok(retries > 0.1 * requests);
  });

  it('allows retries again after the window has passed', () => {
    const budget = createBudget(1, { slack: 2 });
    assert.equal(budget.trySpend('till', 0), true);
    assert.equal(budget.trySpend('till', 1), false);
    for (let now = WATCH_INTERVAL_MILLISECONDS; now <= 10_000; now += WATCH_INTERVAL_MILLISECONDS)
      budget.recordShares(1, 'control', now);
    assert.equal(budget.trySpend('till', 10_002), true);
  });

  it('keeps each service to its own requests', () => {
    const budget = createBudget(1, { slack: 0 });
    for (let request = 0; request < 100; request += 1) budget.recordRequest('ledger', 0);
    assert.equal(spendAll(budget, 1), 0);
    assert.equal(budget.trySpend('ledger', 1), true);
    assert.equal(budget.usage('ledger', 1).spent, 1);
  });

  it('spends no slack twice in a window when the entry starts again', () => {
    const noRequests = { ...allowance, ratio: 0 };
    let spent = spendAll(createBudget(1, noRequests), 0);
    assert.ok(spent > 0.5 * allowance.slack, `${spent} before the start`);
    for (const startedAt of [1_000, 4_000, 7_000]) {
      const restarted = createSharedRetryBudget(noRequests);
      for (let now = startedAt; now < startedAt + 3_000; now += 10) {
        restarted.recordShares(1, 'control', now);
        spent += spendAll(restarted, now);
      }
    }
    assert.ok(spent <= allowance.slack, `${spent} of ${allowance.slack} in one window`);
  });

  it('gives an entry that has started again the ratio of its requests at once', () => {
    const restarted = createSharedRetryBudget(allowance);
    for (let request = 0; request < 100; request += 1) restarted.recordRequest('till', 1);
    assert.ok(spendAll(restarted, 2) >= 0.5 * allowance.ratio * 100);
  });

  it('gives an entry without contact the ratio of its requests', () => {
    const budget = createBudget(1);
    for (let request = 0; request < 100; request += 1) budget.recordRequest('till', 5_000);
    const spent = spendAll(budget, 5_001);
    assert.ok(spent >= 0.5 * allowance.ratio * 100, `${spent} spent`);
    assert.ok(spent <= allowance.ratio * 100, `${spent} spent`);
  });
});
