import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createRetryBudget } from '../src/retryBudget.js';

describe('the retry budget of one entry', () => {
  it('of one service is not spent on another', () => {
    const budget = createRetryBudget();
    for (let request = 0; request < 1_000; request += 1) budget.recordRequest('busy');
    for (let request = 0; request < 10; request += 1) budget.recordRequest('quiet');
    let retries = 0;
    while (budget.trySpend('quiet')) retries += 1;
    assert.ok(retries <= 0.2 * 10 + 3, `${retries} retries for 10 requests`);
    assert.equal(budget.trySpend('busy'), true);
  });
});
