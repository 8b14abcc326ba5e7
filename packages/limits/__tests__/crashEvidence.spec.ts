import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createCrashEvidence, type UpstreamLife } from '../src/crashEvidence.js';
import { createQuarantineState } from '../src/quarantineState.js';

const lives = (known: Readonly<Record<string, UpstreamLife>>) => (upstream: string) =>
  known[upstream] ?? null;

describe('the evidence that a content crashed upstreams', () => {
  const run = { content: 'c', upstream: 'a' };

  it('counts a run only once its upstream has ended, is silent or has started anew', () => {
    const evidence = createCrashEvidence();
    for (const upstream of ['a', 'b', 'c', 'd']) evidence.broke({ ...run, upstream }, 10, 0);
    const known = {
      a: { startedAt: 10, silent: false },
      b: { startedAt: 10, silent: true },
      c: { startedAt: 11, silent: false },
    };
    const proved = evidence.proved(lives(known), 100).map(({ upstream }) => upstream);
    assert.deepEqual(proved, ['b', 'c', 'd']);
    assert.deepEqual(evidence.proved(lives(known), 200), []);
  });

  it('forgets runs whose upstream lives on: the network had reset them', () => {
    const evidence = createCrashEvidence();
    evidence.broke(run, 10, 0);
    assert.deepEqual(evidence.proved(lives({ a: { startedAt: 10, silent: false } }), 7_000), []);
    assert.deepEqual(evidence.proved(lives({}), 8_000), []);
  });
});

describe('upstreams that end in series while a content is served elsewhere', () => {
  const run = { content: 'popular', upstream: 'a' };

  it('say nothing against it', () => {
    const evidence = createCrashEvidence();
    for (const upstream of ['a', 'b', 'c']) {
      evidence.broke({ ...run, upstream }, 10, 0);
      evidence.ranWhole('popular');
    }
    evidence.broke({ content: 'poison', upstream: 'c' }, 10, 0);
    assert.deepEqual(evidence.proved(lives({}), 100), [{ content: 'poison', upstream: 'c' }]);
  });

  it('are not counted again when another control process tells all that it knows', () => {
    const evidence = createCrashEvidence();
    assert.equal(evidence.isNews(run), true);
    assert.equal(evidence.isNews(run), false);
    assert.equal(evidence.isNews({ ...run, upstream: 'b' }), true);
  });
});

describe('a content that many callers ask for', () => {
  it('is not refused for crashes of two upstreams, nor after it ran to its end', () => {
    const state = createQuarantineState(3);
    const crashed = (agent: string) => {
      state.crashed({ content: 'popular', agent, granted: false }, 0);
    };
    crashed('a');
    crashed('b');
    assert.equal(state.standing('popular', 1).kind, 'suspect');
    state.cleared('popular');
    crashed('c');
    assert.equal(state.standing('popular', 1).kind, 'suspect');
    crashed('d');
    crashed('e');
    assert.equal(state.standing('popular', 1).kind, 'quarantined');
  });
});
