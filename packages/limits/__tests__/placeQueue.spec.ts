import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createSeededRandom } from '@burdockrail/common/seededRandom.js';
import { createCallerElapsed } from '../src/callerElapsed.js';
import { createForeignLoad } from '../src/foreignLoad.js';
import { createPlaceQueue, type PlaceRequest } from '../src/placeQueue.js';
import { comeBackIn } from '../src/refusalAdvice.js';
import { createSharedRetryBudget } from '../src/sharedRetryBudget.js';
import { mayTakeUngranted } from '../src/ungrantedPart.js';
import { streamSlack } from '../src/streamSlack.js';

function request(changes: Partial<PlaceRequest> = {}): PlaceRequest {
  return {
    owner: '',
    expectedMilliseconds: 1_000,
    readMilliseconds: 0,
    mostReadingMilliseconds: 1_000,
    mostTaken: 100,
    slackMilliseconds: 2_000,
    mayWait: true,
    holdMilliseconds: 6_000,
    rank: 0,
    ...changes,
  };
}

describe('the places of an engine', () => {
  it('are never more than the engine has', () => {
    const queue = createPlaceQueue(2);
    assert.equal(queue.claim(request(), 0).kind, 'granted');
    assert.equal(queue.claim(request(), 0).kind, 'granted');
    const refused = queue.claim(request(), 0);
    assert.deepEqual(refused, { kind: 'full', freeInMilliseconds: 1_000 });
  });

  it('refuse at once what would wait too long, and let wait what comes free in time', () => {
    const queue = createPlaceQueue(1);
    const first = queue.claim(request({ expectedMilliseconds: 500 }), 0);
    assert.ok(first.kind === 'granted');
    assert.equal(queue.claim(request(), 300).kind, 'full');
    const waiting = queue.claim(request(), 400);
    assert.ok(waiting.kind === 'waiting');
    assert.equal(queue.claim(request({ rank: 1 }), 400).kind, 'waiting');
    const [outcome] = queue.release(first.place, 480);
    assert.equal(outcome?.kind, 'granted');
    assert.equal(outcome.ticket, waiting.ticket);
  });

  it('go to the claim with the smallest rank', () => {
    const queue = createPlaceQueue(1);
    const first = queue.claim(request({ expectedMilliseconds: 0 }), 0);
    assert.ok(first.kind === 'granted');
    queue.claim(request({ rank: 5 }), 0);
    const urgent = queue.claim(request({ rank: 1 }), 0);
    assert.ok(urgent.kind === 'waiting');
    assert.equal(queue.release(first.place, 10)[0]?.ticket, urgent.ticket);
  });

  it('come back without a release when the hold is over, and waits end in a refusal', () => {
    const queue = createPlaceQueue(1);
    queue.claim(request({ expectedMilliseconds: 0, holdMilliseconds: 1_000 }), 0);
    const waiting = queue.claim(request(), 0);
    assert.ok(waiting.kind === 'waiting');
    assert.equal(queue.nextExpiry(0), 160);
    assert.equal(queue.expire(160)[0]?.kind, 'full');
    queue.expire(1_001);
    assert.equal(queue.taken, 0);
  });

  it('spread prompts over time, so that they do not stretch each other’s first tokens', () => {
    const queue = createPlaceQueue(16);
    const prompt = request({ readMilliseconds: 60, mostReadingMilliseconds: 120 });
    assert.equal(queue.claim(prompt, 0).kind, 'granted');
    assert.equal(queue.claim(prompt, 0).kind, 'granted');
    const third = queue.claim(prompt, 0);
    assert.ok(third.kind === 'full' || third.kind === 'waiting');
    assert.equal(queue.claim(prompt, 120).kind, third.kind === 'full' ? 'granted' : 'waiting');
  });

  it('refuse what would start late beside those that run, but never for its own size alone', () => {
    const queue = createPlaceQueue(16);
    for (let place = 0; place < 14; place += 1) queue.claim(request(), 0);
    const backlog = request({ readMilliseconds: 120 });
    assert.equal(queue.claim(backlog, 0).kind, 'granted');
    const late = queue.claim(request({ slackMilliseconds: 340, mayWait: false }), 0);
    assert.equal(late.kind, 'full');
    const large = request({ slackMilliseconds: 100, mayWait: false });
    assert.equal(queue.claim(large, 0).kind, 'full');
    assert.equal(queue.claim(large, 400).kind, 'granted');
  });

  it('are not offered to a claim that looks for an engine with fewer taken', () => {
    const queue = createPlaceQueue(4);
    queue.claim(request(), 0);
    queue.claim(request(), 0);
    assert.equal(queue.claim(request({ mostTaken: 2, mayWait: false }), 0).kind, 'full');
    assert.equal(queue.claim(request({ mostTaken: 3 }), 0).kind, 'granted');
  });

  it('come back when an entry did not get its answer', () => {
    const queue = createPlaceQueue(1);
    assert.equal(
      queue.claim(request({ owner: 'a', expectedMilliseconds: 100 }), 0).kind,
      'granted',
    );
    const waiting = queue.claim(request({ owner: 'b' }), 0);
    assert.ok(waiting.kind === 'waiting');
    assert.equal(queue.claim(request({ owner: 'c' }), 0).kind, 'waiting');
    queue.leave('c', 10);
    assert.equal(queue.waiting, 1);
    assert.equal(queue.leave('a', 10)[0]?.ticket, waiting.ticket);
    assert.equal(queue.taken, 1);
  });

  it('take only short requests before the engine closes', () => {
    const queue = createPlaceQueue(4);
    queue.closeAt(1_000);
    const refused = queue.claim(request({ expectedMilliseconds: 2_000 }), 0);
    assert.deepEqual(refused, { kind: 'full', freeInMilliseconds: 1_700 });
    assert.equal(queue.claim(request({ expectedMilliseconds: 900 }), 0).kind, 'granted');
    queue.closeAt(null);
    assert.equal(queue.claim(request({ expectedMilliseconds: 2_000 }), 0).kind, 'granted');
  });

  it('keep the first token in time while arrivals stay above what the engine serves', () => {
    const random = createSeededRandom(7);
    const queue = createPlaceQueue(16);
    const ends: { readonly place: number; readonly at: number }[] = [];
    const waits: number[] = [];
    const startedAt = new Map<number, number>();
    let refused = 0;
    for (let now = 0; now < 20_000; now += 1) {
      for (const end of ends.filter(({ at }) => at === now)) {
        for (const outcome of queue.release(end.place, now)) {
          if (outcome.kind !== 'granted') continue;
          waits.push(now - (startedAt.get(outcome.ticket) ?? now));
          ends.push({ place: outcome.place, at: now + 600 + random.below(1_600) });
        }
      }
      refused += queue.expire(now).filter(({ kind }) => kind === 'full').length;
      if (random.next() >= 0.02) continue;
      const decision = queue.claim(request({ expectedMilliseconds: 1_400 }), now);
      if (decision.kind === 'full') refused += 1;
      if (decision.kind === 'waiting') startedAt.set(decision.ticket, now);
      if (decision.kind !== 'granted') continue;
      waits.push(0);
      ends.push({ place: decision.place, at: now + 600 + random.below(1_600) });
    }
    assert.ok(refused > 50, `${refused} refused`);
    assert.ok(Math.max(...waits) <= 160, `a wait of ${Math.max(...waits)} ms`);
    const served = waits.length / 20;
    assert.ok(served > 0.9 * (16 / 1.4), `${served} served a second`);
  });
});

describe('the retries of all entries together', () => {
  const allowance = { ratio: 0.2, slack: 100, windowMilliseconds: 10_000 };

  it('stay below the allowance in every window, whatever each entry sees', () => {
    const entries = 20;
    const budgets = Array.from({ length: entries }, () => createSharedRetryBudget(allowance));
    const resends: number[] = [];
    let requests = 0;
    for (let now = 0; now < 10_000; now += 10) {
      for (const budget of budgets) {
        budget.arrived('till', now);
        requests += 1;
        if (budget.trySpend('till', entries, now)) resends.push(now);
      }
    }
    assert.ok(resends.length <= 0.2 * requests + 100, `${resends.length} of ${requests}`);
    assert.ok(resends.length > 0.1 * requests);
  });

  it('come back when the window has moved on', () => {
    const budget = createSharedRetryBudget({ ...allowance, slack: 2 });
    assert.equal(budget.trySpend('till', 1, 0), true);
    assert.equal(budget.trySpend('till', 1, 1), false);
    assert.equal(budget.trySpend('till', 1, 10_002), true);
  });
});

describe('the time that a caller has spent', () => {
  it('is what its deadline lacks of the usual one', () => {
    const elapsed = createCallerElapsed();
    assert.equal(elapsed.note('r', 6_033), 0);
    assert.equal(elapsed.note('r', 6_033), 0);
    const late = elapsed.note('r', 5_500);
    assert.ok(late > 500 && late < 534, `${late} ms`);
    assert.equal(elapsed.note('other', 1_500), 0);
    assert.equal(elapsed.note('r', null), 0);
  });

  it('lets no late claim wait where others can still be in time', () => {
    const queue = createPlaceQueue(1);
    const first = queue.claim(request({ expectedMilliseconds: 300 }), 0);
    assert.ok(first.kind === 'granted');
    const late = queue.claim(request({ slackMilliseconds: 0, rank: 100 }), 200);
    assert.deepEqual(late, { kind: 'full', freeInMilliseconds: 100 });
    const inTime = queue.claim(request({ slackMilliseconds: 400, rank: 1 }), 200);
    assert.ok(inTime.kind === 'waiting');
    assert.equal(queue.release(first.place, 290)[0]?.ticket, inTime.ticket);
  });

  it('gives a late claim a place that is free', () => {
    const queue = createPlaceQueue(1);
    assert.equal(queue.claim(request({ slackMilliseconds: 0 }), 0).kind, 'granted');
  });
});

describe('requests that no place was granted for', () => {
  it('count once two reports in a row show them', () => {
    const load = createForeignLoad();
    load.report(12, 0);
    assert.equal(load.requests, 0);
    load.report(10, 0);
    assert.equal(load.requests, 10);
    load.report(10, 9);
    assert.equal(load.requests, 1);
    load.report(5, 9);
    assert.equal(load.requests, 0);
  });
});

describe('the slack of a stream', () => {
  const question = {
    objectiveMilliseconds: 400,
    elapsedMilliseconds: 10,
    promptTokens: 800,
    readTokensPerSecond: 19_100,
  };

  it('leaves the time that reading the prompt needs', () => {
    assert.equal(Math.round(streamSlack(question)), 348);
    assert.ok(streamSlack({ ...question, promptTokens: 3_000 }) < 240);
  });

  it('is nothing when the objective is lost', () => {
    assert.equal(streamSlack({ ...question, elapsedMilliseconds: 390 }), 0);
  });
});

describe('the advice to a refused caller', () => {
  it('is the predicted time while the answer can still be in time', () => {
    assert.equal(comeBackIn({ freeInMilliseconds: 120, slackMilliseconds: 400 }), 120);
    assert.equal(comeBackIn({ freeInMilliseconds: 0, slackMilliseconds: 400 }), 50);
  });

  it('spares a caller that will be late an early second refusal', () => {
    assert.equal(comeBackIn({ freeInMilliseconds: 120, slackMilliseconds: 200 }), 1_500);
    assert.equal(comeBackIn({ freeInMilliseconds: 5_000, slackMilliseconds: 400 }), 1_900);
    assert.equal(comeBackIn({ freeInMilliseconds: null, slackMilliseconds: 400 }), 1_900);
  });
});

describe('an engine whose agent is gone', () => {
  it('gets about half of what it can run, however many entries there are', () => {
    const random = createSeededRandom(5);
    for (const entries of [2, 5, 20, 60, 400]) {
      const tries = 200;
      let taken = 0;
      for (let round = 0; round < tries; round += 1) {
        for (let entry = 0; entry < entries; entry += 1) {
          let ownRequests = 0;
          const draw = random.next();
          while (mayTakeUngranted({ slots: 16, entries, ownRequests, draw })) ownRequests += 1;
          taken += ownRequests;
        }
      }
      const mean = taken / tries;
      assert.ok(mean > 7 && mean < 9, `${mean} of 16 slots with ${entries} entries`);
    }
  });
});
