import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  searchSlot,
  type SearchedEngine,
  type SlotClaimResult,
  type SlotSearchClaim,
  type SlotSearchResult,
} from '../src/slotSearch.js';

const engineIds = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h', 'i', 'j', 'k', 'l'];
const engines = engineIds.map((id) => ({ id, slots: 10, mayServe: true }));

/** Runs a search with the given answers; returns the claims made and the result. */
function runSearch(
  answer: (claim: SlotSearchClaim) => SlotClaimResult,
  loads: Readonly<Record<string, number>> = {},
  searched: readonly SearchedEngine[] = engines,
): { readonly claims: readonly SlotSearchClaim[]; readonly result: SlotSearchResult } {
  const claims: SlotSearchClaim[] = [];
  const search = searchSlot({
    engines: searched,
    loadOf: (id) => loads[id] ?? 0,
    longestWaitMilliseconds: 200,
  });
  let step = search.next();
  while (step.done !== true) {
    claims.push(step.value);
    step = search.next(answer(step.value));
  }
  return { claims, result: step.value };
}

const full = (freeInMilliseconds: number): SlotClaimResult => ({
  kind: 'full',
  freeInMilliseconds,
});

describe('slot search', () => {
  it('asks lightly loaded engines first and stops at the first grant', () => {
    const { claims, result } = runSearch(({ engine }) =>
      engine === 'b' ? { kind: 'granted' } : full(90),
    );
    assert.deepEqual(result, { kind: 'granted' });
    assert.deepEqual(
      claims.map(({ engine, terms }) => [engine, terms.mostTaken]),
      [
        ['a', 6],
        ['b', 6],
      ],
    );
  });

  it('then accepts any slot, asking a limited number of engines by load', () => {
    const loads = { a: 0.9, b: 0.8, c: 0.1, d: 0.5, e: 1 };
    const { claims, result } = runSearch(() => full(900), loads);
    assert.equal(claims.map(({ engine }) => engine).join(''), 'ab' + 'fghijcdbae');
    assert.ok(claims.every(({ terms }) => !terms.mayWait));
    assert.deepEqual(result, { kind: 'full', freeInMilliseconds: 900, asked: 12 });
  });

  it('waits only at the engine with the shortest predicted wait, if that is short enough', () => {
    const { claims, result } = runSearch(({ engine, terms }) => {
      if (terms.mayWait) return full(70);
      return full(engine === 'd' ? 120 : 800);
    });
    const last = claims.at(-1);
    assert.equal(last?.engine, 'd');
    assert.equal(last.terms.mayWait, true);
    assert.deepEqual(result, { kind: 'full', freeInMilliseconds: 70, asked: 12 });
  });

  it('reports that no engine is available when none answers or has weights loaded', () => {
    const { result } = runSearch(({ engine }) => ({
      kind: engine === 'a' ? 'silent' : 'unloaded',
    }));
    assert.deepEqual(result, { kind: 'absent' });
  });

  it('does not ask an engine again that has no weights or whose agent is slow', () => {
    const { claims } = runSearch(({ engine }) => {
      if (engine === 'a') return { kind: 'unloaded' };
      return engine === 'b' ? { kind: 'slow' } : full(900);
    });
    assert.equal(claims.map(({ engine }) => engine).join(''), 'ab' + 'cdefghij');
  });

  it('passes over engines without weights, and asks few when none has any', () => {
    const unloaded = engines.map((engine) => ({ ...engine, mayServe: engine.id === 'e' }));
    const { claims } = runSearch(() => full(900), {}, unloaded);
    assert.ok(claims.every(({ engine }) => engine === 'e'));
    const none = engines.map((engine) => ({ ...engine, mayServe: false }));
    const { claims: trials, result } = runSearch(() => ({ kind: 'unloaded' }), {}, none);
    assert.equal(trials.length, 2);
    assert.deepEqual(result, { kind: 'absent' });
  });
});
