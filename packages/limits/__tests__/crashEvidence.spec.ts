import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createCrashEvidence, type UpstreamLife } from '../src/crashEvidence.js';
import { createQuarantineState } from '../src/quarantineState.js';

const livenessLookup = (known: Readonly<Record<string, UpstreamLife>>) => (upstream: string) =>
  known[upstream] ?? null;

describe('crash attribution', () => {
  const run = { content: 'c', upstream: 'a' };

  it('counts an interrupted run only when its upstream is gone, silent or restarted', () => {
    const attribution = createCrashEvidence();
    for (const upstream of ['a', 'b', 'c', 'd']) attribution.broke({ ...run, upstream }, 10, 0);
    const known = {
      a: { startedAt: 10, silent: false },
      b: { startedAt: 10, silent: true },
      c: { startedAt: 11, silent: false },
    };
    const confirmed = attribution
      .proved(livenessLookup(known), 100)
      .map(({ upstream }) => upstream);
    assert.deepEqual(confirmed, ['b', 'c', 'd']);
    assert.deepEqual(attribution.proved(livenessLookup(known), 200), []);
  });

  it('drops interrupted runs whose upstream stays alive, as after a network reset', () => {
    const attribution = createCrashEvidence();
    attribution.broke(run, 10, 0);
    assert.deepEqual(
      attribution.proved(livenessLookup({ a: { startedAt: 10, silent: false } }), 7_000),
      [],
    );
    assert.deepEqual(attribution.proved(livenessLookup({}), 8_000), []);
  });
});

describe('upstreams that crash one after another while a content completes elsewhere', () => {
  const run = { content: 'popular', upstream: 'a' };

  it('are not counted against the content', () => {
    const attribution = createCrashEvidence();
    for (const upstream of ['a', 'b', 'c']) {
      attribution.broke({ ...run, upstream }, 10, 0);
      attribution.ranWhole('popular');
    }
    attribution.broke({ content: 'poison', upstream: 'c' }, 10, 0);
    assert.deepEqual(attribution.proved(livenessLookup({}), 100), [
      { content: 'poison', upstream: 'c' },
    ]);
  });

  it('are counted once when another control process reports all its crashes again', () => {
    const attribution = createCrashEvidence();
    assert.equal(attribution.isNews(run), true);
    assert.equal(attribution.isNews(run), false);
    assert.equal(attribution.isNews({ ...run, upstream: 'b' }), true);
  });
});

describe('a popular content', () => {
  it('is quarantined only after crashes of three upstreams since it last completed', () => {
    const state = createQuarantineState(3);
    const recordCrash = (agent: string) => {
      state.crashed({ content: 'popular', agent, granted: false }, 0);
    };
    recordCrash('a');
    recordCrash('b');
    assert.equal(state.standing('popular', 1).kind, 'suspect');
    state.cleared('popular');
    recordCrash('c');
    assert.equal(state.standing('popular', 1).kind, 'suspect');
    recordCrash('d');
    recordCrash('e');
    assert.equal(state.standing('popular', 1).kind, 'quarantined');
  });
});
