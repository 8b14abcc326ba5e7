import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  createSharedRetryBudget,
  type RetryAllowance,
  type SharedRetryBudget,
} from '../src/sharedRetryBudget.js';

const WINDOW_MILLISECONDS = 10_000;
const allowance: RetryAllowance = {
  ratio: 0.2,
  slack: 100,
  windowMilliseconds: WINDOW_MILLISECONDS,
};

/** Start of a process that has run for longer than a window. */
const LONG_AGO = -WINDOW_MILLISECONDS;

/** Spends all retries of a service that are left at a time. */
function spendAll(budget: SharedRetryBudget, entries: number, now: number): number {
  let spent = 0;
  while (budget.trySpend('till', entries, now)) spent += 1;
  return spent;
}

describe('the shared retry budget', () => {
  it('keeps the retries of all entries below the allowance', () => {
    const entries = 20;
    const budgets = Array.from({ length: entries }, () =>
      createSharedRetryBudget(allowance, LONG_AGO),
    );
    let retries = 0;
    let requests = 0;
    for (let now = 0; now < WINDOW_MILLISECONDS; now += 10) {
      for (const budget of budgets) {
        budget.recordRequest('till', now);
        requests += 1;
        if (budget.trySpend('till', entries, now)) retries += 1;
      }
    }
    assert.ok(retries <= 0.2 * requests + 100, `${retries} of ${requests}`);
    assert.ok(retries > 0.1 * requests);
  });

  it('allows retries again after the window has passed', () => {
    const budget = createSharedRetryBudget({ ...allowance, slack: 2 }, LONG_AGO);
    assert.equal(budget.trySpend('till', 1, 0), true);
    assert.equal(budget.trySpend('till', 1, 1), false);
    assert.equal(budget.trySpend('till', 1, 10_002), true);
  });

  it('keeps each service to its own requests', () => {
    const budget = createSharedRetryBudget({ ...allowance, slack: 0 }, LONG_AGO);
    for (let request = 0; request < 100; request += 1) budget.recordRequest('ledger', 0);
    assert.equal(spendAll(budget, 1, 1), 0);
    assert.equal(budget.trySpend('ledger', 1, 1), true);
    assert.equal(budget.usage('ledger', 1, 1).spent, 1);
  });

  it('spends no slack twice in a window when the entry starts again', () => {
    const noRequests = { ...allowance, ratio: 0 };
    let spent = spendAll(createSharedRetryBudget(noRequests, LONG_AGO), 1, 0);
    assert.ok(spent > 0.5 * allowance.slack, `${spent} before the start`);
    for (const startedAt of [1_000, 4_000, 7_000]) {
      const restarted = createSharedRetryBudget(noRequests, startedAt);
      for (let now = startedAt; now < startedAt + 3_000; now += 10)
        spent += spendAll(restarted, 1, now);
    }
    assert.ok(spent <= allowance.slack, `${spent} of ${allowance.slack} in one window`);
  });

  it('gives an entry that has started again the ratio of its requests at once', () => {
    const restarted = createSharedRetryBudget(allowance, 0);
    for (let request = 0; request < 100; request += 1) restarted.recordRequest('till', 1);
    assert.ok(spendAll(restarted, 1, 2) >= 0.5 * allowance.ratio * 100);
  });
});
