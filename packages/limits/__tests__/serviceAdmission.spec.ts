import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createFairQueue } from '../src/fairQueue.js';
import { createRetryBudget } from '../src/retryBudget.js';
import { createServiceAdmission } from '../src/serviceAdmission.js';
import { createTeamLimits } from '../src/teamLimits.js';

describe('a fair queue', () => {
  it('serves teams by their weights, however long one of them queues', () => {
    const queue = createFairQueue<string>();
    for (let round = 0; round < 100; round += 1) {
      queue.push({ team: 'large', weight: 1, priority: 0, item: 'large' });
    }
    for (let round = 0; round < 10; round += 1) {
      queue.push({ team: 'small', weight: 2, priority: 0, item: 'small' });
    }
    const first = Array.from({ length: 15 }, () => queue.pop());
    assert.equal(first.filter((team) => team === 'small').length, 10);
  });

  it('lets a team that comes late go ahead at once, and higher priorities first', () => {
    const queue = createFairQueue<string>();
    for (const item of ['a', 'b', 'c']) queue.push({ team: 't', weight: 1, priority: 0, item });
    queue.pop();
    queue.pop();
    queue.push({ team: 't', weight: 1, priority: 5, item: 'urgent' });
    queue.push({ team: 'late', weight: 1, priority: 0, item: 'late' });
    assert.deepEqual([queue.pop(), queue.pop(), queue.pop()], ['late', 'urgent', 'c']);
  });
});

describe('the admission to a service', () => {
  const room = { share: 1, free: 0 };
  const wish = (team: string, onAdmitted: () => void = () => undefined) => ({
    team,
    weight: 1,
    priority: 0,
    onAdmitted,
  });

  it('sheds a team whose own queue is too long, and queues the others', () => {
    const admission = createServiceAdmission();
    assert.equal(admission.arrive(wish('large'), room, 200).kind, 'admitted');
    const kinds = Array.from({ length: 30 }, () => admission.arrive(wish('large'), room, 200).kind);
    assert.ok(kinds.includes('shed'));
    assert.equal(admission.arrive(wish('small'), room, 200).kind, 'queued');
  });

  it('lets the next one go on when one ends', () => {
    const admission = createServiceAdmission();
    const admitted: string[] = [];
    admission.arrive(wish('one'), room, 1_000);
    admission.arrive(
      wish('two', () => {
        admitted.push('two');
      }),
      room,
      1_000,
    );
    admission.pump(room);
    assert.deepEqual(admitted, []);
    admission.finished(10);
    admission.pump(room);
    assert.deepEqual(admitted, ['two']);
  });
});

describe('the limits of a team', () => {
  it('allow an entry its part of the rate and tell when to come back', () => {
    const limits = createTeamLimits();
    const limit = { requestsPerSecond: 20 };
    let taken = 0;
    for (let now = 0; now < 10_000; now += 10) {
      if (limits.tryTake('desk', limit, 4, now).kind === 'taken') taken += 1;
    }
    assert.ok(taken >= 50 && taken <= 55, String(taken));
    const atOnce = Array.from({ length: 10 }, () => limits.tryTake('desk', limit, 4, 10_000).kind);
    assert.equal(atOnce.at(-1), 'rate');
  });

  it('bound what is in progress', () => {
    const limits = createTeamLimits();
    const take = () => limits.tryTake('desk', { concurrency: 4 }, 2, 0).kind;
    assert.deepEqual([take(), take(), take()], ['taken', 'taken', 'concurrency']);
    limits.release('desk');
    assert.equal(take(), 'taken');
  });
});

describe('the retry budget', () => {
  it('keeps attempts within 1.2 for each request when every attempt fails', () => {
    const budget = createRetryBudget();
    let attempts = 0;
    const requests = 200;
    for (let request = 0; request < requests; request += 1) {
      budget.deposit();
      attempts += 1;
      while (budget.trySpend()) attempts += 1;
    }
    assert.ok(attempts / requests <= 1.2, String(attempts / requests));
  });
});
