import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { orderEngines, type EngineView } from '../src/engineOrder.js';
import { chooseUpstream, type UpstreamCandidate } from '../src/upstreamChoice.js';
import { createUpstreamHealthTracker } from '../src/upstreamHealthTracker.js';

function candidate(changes: Partial<UpstreamCandidate>): UpstreamCandidate {
  return {
    id: 'a',
    dataCentre: 'north',
    slots: 4,
    ownRequests: 0,
    reportedRequests: null,
    reportAgeMilliseconds: 0,
    suspended: false,
    silent: false,
    failureRate: 0,
    ...changes,
  };
}

const context = { dataCentre: 'north', tried: new Set<string>(), draw: 0 };

describe('upstream choice', () => {
  it('prefers the own data centre until its upstreams are busy', () => {
    const near = candidate({ id: 'near' });
    const far = candidate({ id: 'far', dataCentre: 'south' });
    assert.equal(chooseUpstream([far, near], context)?.id, 'near');
    const busy = candidate({ id: 'near', ownRequests: 3 });
    assert.equal(chooseUpstream([far, busy], context)?.id, 'far');
  });

  it('gives little weight to an old report', () => {
    const fresh = candidate({ id: 'near', reportedRequests: 4 });
    const old = candidate({ id: 'near', reportedRequests: 4, reportAgeMilliseconds: 4_000 });
    const far = candidate({ id: 'far', dataCentre: 'south' });
    assert.equal(chooseUpstream([fresh, far], context)?.id, 'far');
    assert.equal(chooseUpstream([old, far], context)?.id, 'near');
  });

  it('uses suspended and silent upstreams only when there are no others', () => {
    const suspended = candidate({ id: 'suspended', suspended: true });
    const silent = candidate({ id: 'silent', silent: true });
    const far = candidate({ id: 'far', dataCentre: 'south', ownRequests: 4 });
    assert.equal(chooseUpstream([suspended, silent, far], context)?.id, 'far');
    assert.equal(chooseUpstream([suspended, silent], context)?.id, 'silent');
    assert.equal(chooseUpstream([suspended], context)?.id, 'suspended');
    const tried = new Set(['suspended']);
    assert.equal(chooseUpstream([suspended], { ...context, tried }), undefined);
  });

  it('avoids an upstream that fails part of its requests', () => {
    const tracker = createUpstreamHealthTracker();
    for (let attempt = 0; attempt < 12; attempt += 1) {
      tracker.recordAttempt('failing', attempt % 2 === 0 ? 'failed' : 'answered', attempt);
    }
    const failing = candidate({ id: 'failing', failureRate: tracker.failureRate('failing', 12) });
    const healthy = candidate({ id: 'healthy', ownRequests: 1 });
    assert.equal(chooseUpstream([failing, healthy], context)?.id, 'healthy');
  });
});

describe('upstream health', () => {
  it('doubles the suspension with each consecutive failure and resets it after success', () => {
    const tracker = createUpstreamHealthTracker();
    tracker.recordAttempt('a', 'broken', 0);
    assert.equal(tracker.isSuspended('a', 399), true);
    assert.equal(tracker.isSuspended('a', 400), false);
    tracker.recordAttempt('a', 'broken', 400);
    assert.equal(tracker.isSuspended('a', 1_199), true);
    tracker.recordAttempt('a', 'answered', 1_200);
    tracker.recordAttempt('a', 'broken', 2_000);
    assert.equal(tracker.isSuspended('a', 2_401), false);
  });
});

describe('engine order', () => {
  const engine = (changes: Partial<EngineView>): EngineView => ({
    id: 'a',
    dataCentre: 'north',
    slots: 16,
    taken: null,
    viewAgeMilliseconds: 0,
    ownRequests: 0,
    loaded: true,
    suspended: false,
    failureRate: 0,
    agentUnresponsive: false,
    ...changes,
  });
  const order = (engines: readonly EngineView[]): readonly string[] =>
    orderEngines(engines, 'north');

  it('puts free local engines first, then free remote, full, ungranted and unloaded ones', () => {
    const engines = [
      engine({ id: 'unloaded', loaded: false }),
      engine({ id: 'full', taken: 16 }),
      engine({ id: 'ungranted', agentUnresponsive: true }),
      engine({ id: 'far', dataCentre: 'south' }),
      engine({ id: 'near' }),
    ];
    assert.deepEqual(order(engines), ['near', 'far', 'full', 'ungranted', 'unloaded']);
  });

  it('puts a busy engine before a free one that has answered with errors', () => {
    const engines = [
      engine({ id: 'failing', taken: 0, failureRate: 0.28 }),
      engine({ id: 'busy', taken: 10 }),
    ];
    assert.deepEqual(order(engines), ['busy', 'failing']);
  });
});
