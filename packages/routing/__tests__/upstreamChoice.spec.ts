import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { orderEngines, type EngineView } from '../src/engineOrder.js';
import { chooseUpstream, type UpstreamCandidate } from '../src/upstreamChoice.js';
import { createUpstreamStandings } from '../src/upstreamStanding.js';

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
    failureShare: 0,
    ...changes,
  };
}

const question = { dataCentre: 'north', tried: new Set<string>(), draw: 0 };

describe('the choice of an upstream', () => {
  it('stays in the data centre until that is busy', () => {
    const near = candidate({ id: 'near' });
    const far = candidate({ id: 'far', dataCentre: 'south' });
    assert.equal(chooseUpstream([far, near], question)?.id, 'near');
    const busy = candidate({ id: 'near', ownRequests: 3 });
    assert.equal(chooseUpstream([far, busy], question)?.id, 'far');
  });

  it('forgets what an old report said', () => {
    const fresh = candidate({ id: 'near', reportedRequests: 4 });
    const old = candidate({ id: 'near', reportedRequests: 4, reportAgeMilliseconds: 4_000 });
    const far = candidate({ id: 'far', dataCentre: 'south' });
    assert.equal(chooseUpstream([fresh, far], question)?.id, 'far');
    assert.equal(chooseUpstream([old, far], question)?.id, 'near');
  });

  it('uses suspended and silent upstreams only when there is no other', () => {
    const suspended = candidate({ id: 'suspended', suspended: true });
    const silent = candidate({ id: 'silent', silent: true });
    const far = candidate({ id: 'far', dataCentre: 'south', ownRequests: 4 });
    assert.equal(chooseUpstream([suspended, silent, far], question)?.id, 'far');
    assert.equal(chooseUpstream([suspended, silent], question)?.id, 'silent');
    assert.equal(chooseUpstream([suspended], question)?.id, 'suspended');
    const tried = new Set(['suspended']);
    assert.equal(chooseUpstream([suspended], { ...question, tried }), undefined);
  });

  it('turns away from one that fails part of its requests', () => {
    const standings = createUpstreamStandings();
    for (let attempt = 0; attempt < 12; attempt += 1) {
      standings.note('grey', attempt % 2 === 0 ? 'failed' : 'answered', attempt);
    }
    const grey = candidate({ id: 'grey', failureShare: standings.failureShare('grey') });
    const sound = candidate({ id: 'sound', ownRequests: 1 });
    assert.equal(chooseUpstream([grey, sound], question)?.id, 'sound');
  });
});

describe('the standing of an upstream', () => {
  it('suspends for longer with each break and at once again after success', () => {
    const standings = createUpstreamStandings();
    standings.note('a', 'broken', 0);
    assert.equal(standings.isSuspended('a', 399), true);
    assert.equal(standings.isSuspended('a', 400), false);
    standings.note('a', 'broken', 400);
    assert.equal(standings.isSuspended('a', 1_199), true);
    standings.note('a', 'answered', 1_200);
    standings.note('a', 'broken', 2_000);
    assert.equal(standings.isSuspended('a', 2_401), false);
  });
});

describe('the order of engines', () => {
  const engine = (changes: Partial<EngineView>): EngineView => ({
    id: 'a',
    dataCentre: 'north',
    places: 16,
    taken: null,
    viewAgeMilliseconds: 0,
    ownRequests: 0,
    loaded: true,
    suspended: false,
    ungranted: false,
    ...changes,
  });
  const order = (engines: readonly EngineView[]): readonly string[] =>
    orderEngines(engines, { dataCentre: 'north', draw: () => 0 });

  it('asks a free near one first, then a free far one, then full ones, then unloaded ones', () => {
    const engines = [
      engine({ id: 'unloaded', loaded: false }),
      engine({ id: 'full', taken: 16 }),
      engine({ id: 'nobody', ungranted: true }),
      engine({ id: 'far', dataCentre: 'south' }),
      engine({ id: 'near' }),
    ];
    assert.deepEqual(order(engines), ['near', 'far', 'full', 'nobody', 'unloaded']);
  });
});
