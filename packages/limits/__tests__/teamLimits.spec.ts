import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { createTeamLimits, type TeamBounds } from '../src/teamLimits.js';

function countAllowed(bounds: TeamBounds, entries: number, seconds: number): number {
  const limits = createTeamLimits();
  let allowed = 0;
  for (let now = 0; now < seconds * 1_000; now += 5) {
    if (limits.begin(bounds, entries, now).kind !== 'allowed') continue;
    allowed += 1;
    limits.end(bounds.team);
  }
  return allowed;
}

describe('team limits', () => {
  it('limit the rate to the share of the entry, with a burst of one second', () => {
    const allowed = countAllowed({ team: 'desk', requestsPerSecond: 60 }, 6, 10);
    assert.ok(allowed >= 100 && allowed <= 111, `${allowed}`);
  });

  it('return the time until the next request is allowed', () => {
    const limits = createTeamLimits();
    const bounds = { team: 'desk', requestsPerSecond: 2 };
    limits.begin(bounds, 1, 0);
    limits.begin(bounds, 1, 0);
    const decision = limits.begin(bounds, 1, 0);
    assert.deepEqual(decision, {
      kind: 'refused',
      code: ResultCode.RateLimited,
      retryAfterMilliseconds: 500,
    });
    assert.equal(limits.begin(bounds, 1, 500).kind, 'allowed');
  });

  it('limit the requests in progress and allow another when one ends', () => {
    const limits = createTeamLimits();
    const bounds = { team: 'desk', concurrency: 2 };
    assert.equal(limits.begin(bounds, 1, 0).kind, 'allowed');
    assert.equal(limits.begin(bounds, 1, 0).kind, 'allowed');
    assert.equal(limits.begin(bounds, 1, 0).kind, 'refused');
    limits.end('desk');
    assert.equal(limits.begin(bounds, 1, 0).kind, 'allowed');
  });

  it('do not restrict teams without limits', () => {
    assert.equal(countAllowed({ team: 'desk' }, 6, 1), 200);
  });
});
