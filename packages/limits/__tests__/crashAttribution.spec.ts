import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createCrashAttribution, type UpstreamLiveness } from '../src/crashAttribution.js';
import { createQuarantineState } from '../src/quarantineState.js';

const livenessLookup = (known: Readonly<Record<string, UpstreamLiveness>>) => (upstream: string) =>
  known[upstream] ?? null;

describe('crash attribution', () => {
  const run = { content: 'c', parts: [], upstream: 'a', startedAt: 10 };

  it('counts an interrupted run only when its upstream is gone, silent or restarted', () => {
    const attribution = createCrashAttribution();
    for (const upstream of ['a', 'b', 'c', 'd'])
      attribution.recordInterruption({ ...run, upstream }, 0);
    const known = {
      a: { startedAt: 10, silent: false },
      b: { startedAt: 10, silent: true },
      c: { startedAt: 11, silent: false },
    };
    const confirmed = attribution
      .takeConfirmed(livenessLookup(known), 100)
      .map(({ upstream }) => upstream);
    assert.deepEqual(confirmed, ['b', 'c', 'd']);
    assert.deepEqual(attribution.takeConfirmed(livenessLookup(known), 200), []);
  });

  it('drops interrupted runs whose upstream stays alive, as after a network reset', () => {
    const attribution = createCrashAttribution();
    attribution.recordInterruption(run, 0);
    assert.deepEqual(
      attribution.takeConfirmed(livenessLookup({ a: { startedAt: 10, silent: false } }), 7_000),
      [],
    );
    assert.deepEqual(attribution.takeConfirmed(livenessLookup({}), 8_000), []);
  });
});

describe('upstreams that crash one after another while a content completes elsewhere', () => {
  const run = { content: 'popular', parts: [], upstream: 'a', startedAt: 10 };

  it('are not counted against the content', () => {
    const attribution = createCrashAttribution();
    for (const upstream of ['a', 'b', 'c']) {
      attribution.recordInterruption({ ...run, upstream }, 0);
      attribution.recordCompletion('popular');
    }
    const poison = { ...run, content: 'poison', upstream: 'c' };
    attribution.recordInterruption(poison, 0);
    assert.deepEqual(attribution.takeConfirmed(livenessLookup({}), 100), [poison]);
  });

  it('are counted once when another control process reports all its crashes again', () => {
    const attribution = createCrashAttribution();
    assert.equal(attribution.isFirstReport(run), true);
    assert.equal(attribution.isFirstReport(run), false);
    assert.equal(attribution.isFirstReport({ ...run, upstream: 'b' }), true);
    assert.equal(attribution.isFirstReport({ ...run, startedAt: 11 }), true);
  });
});

describe('a popular content', () => {
  it('is quarantined only after crashes of nine upstreams since it last completed', () => {
    const state = createQuarantineState(3);
    const popular = { content: 'popular', parts: [] };
    const recordCrash = (agent: string) => {
      state.recordCrash({ ...popular, agent, granted: false }, 0);
    };
    recordCrash('a');
    recordCrash('b');
    assert.equal(state.statusOf(popular, 1).kind, 'suspect');
    state.recordCompletion(popular, 0);
    for (const agent of ['c', 'd', 'e', 'f', 'g', 'h', 'i', 'j']) {
      recordCrash(agent);
      assert.equal(state.statusOf(popular, 1).kind, 'suspect');
    }
    recordCrash('k');
    assert.equal(state.statusOf(popular, 1).kind, 'quarantined');
  });
});
