import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { Route, RouteConfiguration } from '@burdockrail/routing/routeConfiguration.js';
import { createRouteTable } from '@burdockrail/routing/routeTable.js';
import { admitRequest, isRefusal, type AdmissionInput } from '../src/entryAdmission.js';
import { classifyAnswer } from '../src/attemptOutcome.js';
import { readEventId } from '../src/eventId.js';
import { createSuspendClock } from '../src/suspendClock.js';
import { mayServeVersion, mustBeginBy, namingAge } from '../src/versionRule.js';

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

describe('admitRequest', () => {
  it('sets the deadline to the route timeout or the caller’s deadline, whichever is earlier', () => {
    const decision = admitRequest(input, 1_100);
    assert.ok(!isRefusal(decision));
    assert.equal(decision.deadline, 1_900);
    assert.equal(decision.team?.name, 'desk');
  });

  it('refuses requests that the configuration does not allow', () => {
    assert.equal(codeOf({ table: null }), ResultCode.GroupNotFormed);
    assert.equal(codeOf({ host: 'b.example' }), ResultCode.UnknownService);
    assert.equal(codeOf({ key: 'other' }), ResultCode.KeyUnknown);
    assert.equal(codeOf({ key: null }), ResultCode.KeyUnknown);
    assert.equal(codeOf({ requestId: null }), ResultCode.BadRequest);
    assert.equal(codeOf({ key: null, target: '/open/x' }), ResultCode.Ok);
  });

  it('rejects all keys when a revocation may have been missed, but still serves open routes', () => {
    assert.equal(codeOf({}, 5_001), ResultCode.KeysOutdated);
    assert.equal(codeOf({ key: 'other' }, 5_001), ResultCode.KeysOutdated);
    assert.equal(codeOf({ target: '/open/x' }, 5_001), ResultCode.Ok);
  });
});

describe('classifyAnswer', () => {
  const headers = {
    requestId: 'id',
    notRun: false,
    signed: true,
    load: null,
    requestsPerSecond: null,
    leaving: false,
    retryAfterMilliseconds: null,
  };
  const body = Buffer.from('x');

  it('accepts only a signed answer to this request', () => {
    assert.equal(classifyAnswer('id', 200, headers, [], body).kind, 'answered');
    assert.equal(classifyAnswer('other', 200, headers, [], body).kind, 'unknown');
    const unsignedHeaders = { ...headers, signed: false };
    assert.equal(classifyAnswer('id', 200, unsignedHeaders, [], body).kind, 'unknown');
  });

  it('treats a request as not executed only if the answer proves it', () => {
    const withNotRun = { ...headers, notRun: true, signed: false };
    assert.equal(classifyAnswer('id', 503, withNotRun, [], body).kind, 'notRun');
    const withoutNotRun = { ...headers, signed: false };
    assert.equal(classifyAnswer('id', 503, withoutNotRun, [], body).kind, 'unknown');
    assert.equal(classifyAnswer('id', 421, withoutNotRun, [], body).kind, 'notRun');
  });

  it('takes no refusal that names another request or none', () => {
    for (const requestId of ['other', null]) {
      for (const status of [400, 408, 421, 429, 503]) {
        const refusal = { ...headers, requestId, notRun: true, signed: false };
        assert.equal(classifyAnswer('id', status, refusal, [], body).kind, 'unknown');
      }
    }
  });
});

describe('readEventId', () => {
  it('reads the number of an id line, however its line ends', () => {
    assert.equal(readEventId(Buffer.from('id: 1\ndata: a\n\n')), 1);
    assert.equal(readEventId(Buffer.from('data: a\r\nid:2\r\n\r\n')), 2);
    assert.equal(readEventId(Buffer.from('id: x\ndata: id: 3\n\n')), null);
  });
});

describe('createSuspendClock', () => {
  it('includes suspensions and ignores adjustments of the wall clock', () => {
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

describe('the rule for superseded versions', () => {
  it('counts the age from the naming even in a process that has just started', () => {
    assert.equal(namingAge(10, 1_000, 6_000), 5_000);
    assert.equal(namingAge(4_000, 1_000, 2_000), 4_000);
    assert.equal(namingAge(0, 5_000, 1_000), 0);
  });

  it('does not extend the deadline of a version when another one is named', () => {
    const bounds = { versionMilliseconds: 8_000 };
    const named = [
      { version: 2, namedAt: 0 },
      { version: 3, namedAt: 3_000 },
    ];
    assert.equal(mayServeVersion(1, named, bounds, 7_400), false);
    assert.equal(mayServeVersion(2, named, bounds, 7_400), true);
    assert.equal(mayServeVersion(2, named, bounds, 10_400), false);
  });

  it('stops serving an older version a margin before its deadline', () => {
    const bounds = { versionMilliseconds: 8_000 };
    const named = [{ version: 2, namedAt: 0 }];
    assert.equal(mayServeVersion(1, named, bounds, 3_000), true);
    assert.equal(mayServeVersion(1, named, bounds, 7_400), false);
    assert.equal(mayServeVersion(2, named, bounds, 70_000), true);
    assert.equal(mayServeVersion(1, [], bounds, 70_000), true);
  });

  it('ends requests on an older version that have not begun before its deadline', () => {
    const bounds = { versionMilliseconds: 8_000 };
    const named = [{ version: 2, namedAt: 0 }];
    const beginBy = mustBeginBy(1, named, bounds);
    assert.ok(beginBy < 8_000, `${beginBy} ms`);
    assert.equal(mayServeVersion(1, named, bounds, beginBy), false);
    assert.equal(mustBeginBy(2, named, bounds), Number.POSITIVE_INFINITY);
  });
});
