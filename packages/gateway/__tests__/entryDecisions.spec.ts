import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { Route, RouteConfiguration } from '@burdockrail/routing/routeConfiguration.js';
import { createRouteTable } from '@burdockrail/routing/routeTable.js';
import fc from 'fast-check';
import { admitRequest, isRefusal, type AdmissionInput } from '../src/entryAdmission.js';
import { classifyAnswer } from '../src/attemptOutcome.js';
import { createEventSplitter } from '../src/eventSplitter.js';
import { createSuspendClock } from '../src/suspendClock.js';
import { mayServeVersion, namingAge } from '../src/versionRule.js';

const route: Route = {
  name: 'r',
  host: 'a.example',
  pathPrefix: '/',
  kind: 'once',
  timeoutMilliseconds: 800,
  objectiveMilliseconds: 100,
  pauseMilliseconds: 0,
  priority: 1,
  services: [{ service: 's', weight: 1 }],
  attempts: 1,
  open: false,
  resumable: false,
};

const configuration: RouteConfiguration = {
  version: 3,
  routes: [route, { ...route, name: 'open', pathPrefix: '/open/', open: true }],
  services: [{ name: 's', maximumConnections: 10, engine: null, origin: null }],
  teams: [{ name: 'desk', keys: ['k'], priority: null }],
  limits: {
    headerBytes: 1,
    bodyBytes: 1,
    headerTimeoutMilliseconds: 1,
    idleTimeoutMilliseconds: 1,
  },
};

const input: AdmissionInput = {
  table: createRouteTable(configuration),
  confirmedAt: 1_000,
  maximumKeyAgeMilliseconds: 4_000,
  host: 'a.example',
  target: '/x',
  key: 'k',
  requestId: 'id',
  deadlineMilliseconds: 1_500,
  arrivedAt: 1_100,
  randomDraw: 0,
};

function codeOf(changes: Partial<AdmissionInput>, now = 1_100): ResultCode {
  const decision = admitRequest({ ...input, ...changes }, now);
  return isRefusal(decision) ? decision.code : ResultCode.Ok;
}

describe('the admission of a request', () => {
  it('ends a request at its route time-out or the caller’s deadline, whichever is sooner', () => {
    const decision = admitRequest(input, 1_100);
    assert.ok(!isRefusal(decision));
    assert.equal(decision.deadline, 1_900);
    assert.equal(decision.team?.name, 'desk');
  });

  it('refuses by what the configuration says', () => {
    assert.equal(codeOf({ table: null }), ResultCode.GroupNotFormed);
    assert.equal(codeOf({ host: 'b.example' }), ResultCode.UnknownService);
    assert.equal(codeOf({ key: 'other' }), ResultCode.KeyUnknown);
    assert.equal(codeOf({ key: null }), ResultCode.KeyUnknown);
    assert.equal(codeOf({ requestId: null }), ResultCode.BadRequest);
    assert.equal(codeOf({ key: null, target: '/open/x' }), ResultCode.Ok);
  });

  it('believes no key when a revocation may have been missed, but still serves open routes', () => {
    assert.equal(codeOf({}, 5_001), ResultCode.KeysOutdated);
    assert.equal(codeOf({ key: 'other' }, 5_001), ResultCode.KeysOutdated);
    assert.equal(codeOf({ target: '/open/x' }, 5_001), ResultCode.Ok);
  });
});

describe('the judgement of an answer', () => {
  const headers = { requestId: 'id', notRun: false, signed: true, load: null };
  const body = Buffer.from('x');

  it('passes on only a signed answer to this request', () => {
    assert.equal(classifyAnswer('id', 200, headers, [], body).kind, 'answered');
    assert.equal(classifyAnswer('other', 200, headers, [], body).kind, 'unknown');
    const unsigned = { ...headers, signed: false };
    assert.equal(classifyAnswer('id', 200, unsigned, [], body).kind, 'unknown');
  });

  it('counts only the upstream’s own word as proof that nothing ran', () => {
    const refused = { ...headers, notRun: true, signed: false };
    assert.equal(classifyAnswer('id', 503, refused, [], body).kind, 'notRun');
    const bare = { ...headers, signed: false };
    assert.equal(classifyAnswer('id', 503, bare, [], body).kind, 'unknown');
    assert.equal(classifyAnswer('id', 421, bare, [], body).kind, 'notRun');
  });
});

describe('the splitter of event streams', () => {
  it('gives whole events only, however the bytes arrive', () => {
    const text = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c';
    const cuts = fc.array(fc.integer({ min: 1, max: text.length - 1 }));
    fc.assert(
      fc.property(cuts, (places) => {
        const splitter = createEventSplitter();
        const ends = [...new Set(places), text.length].sort((left, right) => left - right);
        let start = 0;
        const ids: (number | null)[] = [];
        for (const end of ends) {
          const events = splitter.push(Buffer.from(text.slice(start, end)));
          ids.push(...events.map(({ id }) => id));
          start = end;
        }
        assert.deepEqual(ids, [1, 2]);
        assert.equal(splitter.pendingBytes, 'id: 3\ndata: c'.length);
      }),
    );
  });
});

describe('the clock', () => {
  it('counts a suspension and ignores a clock that was set', () => {
    const time = { steady: 0, wall: 5_000, boot: 100 };
    const clock = createSuspendClock({
      steady: () => time.steady,
      wall: () => time.wall,
      sinceBoot: () => time.boot,
    });
    Object.assign(time, { steady: 10, wall: 5_010, boot: 110 });
    assert.equal(clock.now(), 10);
    Object.assign(time, { steady: 20, wall: 11_020, boot: 6_120 });
    assert.equal(clock.now(), 6_020);
    Object.assign(time, { steady: 30, wall: 2_000, boot: 6_130 });
    assert.equal(clock.now(), 6_030);
    Object.assign(time, { steady: 40, wall: 9_000, boot: 6_140 });
    assert.equal(clock.now(), 6_040);
  });
});

describe('the rule of versions', () => {
  it('counts from the naming also in a process that has just started', () => {
    assert.equal(namingAge(10, 1_000, 6_000), 5_000);
    assert.equal(namingAge(4_000, 1_000, 2_000), 4_000);
    assert.equal(namingAge(0, 5_000, 1_000), 0);
  });

  it('does not put off the end of a version when a further one is named', () => {
    const bounds = { versionMilliseconds: 8_000 };
    const named = [
      { version: 2, namedAt: 0 },
      { version: 3, namedAt: 3_000 },
    ];
    assert.equal(mayServeVersion(1, named, bounds, 7_200), false);
    assert.equal(mayServeVersion(2, named, bounds, 7_200), true);
    assert.equal(mayServeVersion(2, named, bounds, 10_200), false);
  });

  it('ends an older version before its time is over', () => {
    const bounds = { versionMilliseconds: 8_000 };
    const named = [{ version: 2, namedAt: 0 }];
    assert.equal(mayServeVersion(1, named, bounds, 3_000), true);
    assert.equal(mayServeVersion(1, named, bounds, 7_200), false);
    assert.equal(mayServeVersion(2, named, bounds, 70_000), true);
    assert.equal(mayServeVersion(1, [], bounds, 70_000), true);
  });
});
