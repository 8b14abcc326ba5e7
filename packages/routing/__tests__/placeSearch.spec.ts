import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  searchPlace,
  type PlaceAnswer,
  type PlaceQuestion,
  type PlaceSearchEnd,
} from '../src/placeSearch.js';

const engines = ['a', 'b', 'c', 'd', 'e', 'f'].map((id) => ({ id, places: 10 }));

/** Runs a search against a fleet; gives what was asked and how it ended. */
function run(
  answer: (question: PlaceQuestion) => PlaceAnswer,
  loads: Readonly<Record<string, number>> = {},
): { readonly asked: readonly PlaceQuestion[]; readonly end: PlaceSearchEnd } {
  const asked: PlaceQuestion[] = [];
  const search = searchPlace({
    engines,
    loadOf: (id) => loads[id] ?? 0,
    longestWaitMilliseconds: 200,
  });
  let step = search.next();
  while (step.done !== true) {
    asked.push(step.value);
    step = search.next(answer(step.value));
  }
  return { asked, end: step.value };
}

const full = (freeInMilliseconds: number): PlaceAnswer => ({ kind: 'full', freeInMilliseconds });

describe('the search for a place', () => {
  it('asks for lightly loaded engines first, and ends with the first place', () => {
    const { asked, end } = run(({ engine }) => (engine === 'b' ? { kind: 'granted' } : full(90)));
    assert.deepEqual(end, { kind: 'granted' });
    assert.deepEqual(
      asked.map(({ engine, terms }) => [engine, terms.mostTaken]),
      [
        ['a', 6],
        ['b', 6],
      ],
    );
  });

  it('then takes any place, the least loaded first, and asks no more than a few', () => {
    const loads = { a: 0.9, b: 0.8, c: 0.1, d: 0.5, e: 1 };
    const { asked, end } = run(() => full(900), loads);
    assert.equal(asked.map(({ engine }) => engine).join(''), 'ab' + 'cdbae');
    assert.ok(asked.every(({ terms }) => !terms.mayWait));
    assert.deepEqual(end, { kind: 'full', freeInMilliseconds: 900, asked: 7 });
  });

  it('waits only where a place is free soonest, and only when that is soon', () => {
    const { asked, end } = run(({ engine, terms }) => {
      if (terms.mayWait) return full(70);
      return full(engine === 'd' ? 120 : 800);
    });
    const last = asked.at(-1);
    assert.equal(last?.engine, 'd');
    assert.equal(last.terms.mayWait, true);
    assert.deepEqual(end, { kind: 'full', freeInMilliseconds: 70, asked: 7 });
  });

  it('says that there is no engine when none answers or holds weights', () => {
    const { end } = run(({ engine }) => ({ kind: engine === 'a' ? 'silent' : 'unloaded' }));
    assert.deepEqual(end, { kind: 'absent' });
  });
});
