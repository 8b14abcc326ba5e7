import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fastCheck from 'fast-check';
import type { CapacityView } from '../src/concurrencyLimit.js';
import { createServiceAdmission } from '../src/serviceAdmission.js';

const view: CapacityView = { capacity: 8, running: 8, waiting: 0, entries: 2 };

function request(id: string, team: string, share = 1) {
  return { id, team, share, deadlineAt: 60_000 };
}

const teamOf = (id: string): string => id.split(' ')[0] ?? '';

/** Keeps the queues of all teams full and counts the admissions of each team out of 240. */
function admissionsUnderOverload(shares: Readonly<Record<string, number>>) {
  const admission = createServiceAdmission();
  const served = new Map<string, number>();
  const running: string[] = [];
  let requestCount = 0;
  const fillQueues = (): void => {
    for (const [team, share] of Object.entries(shares)) {
      requestCount += 1;
      const id = `${team} ${requestCount}`;
      const { decision, admitted } = admission.arrive(request(id, team, share), view, 0);
      running.push(...admitted);
      if (decision.kind === 'admitted') running.push(id);
    }
  };
  for (let round = 0; round < 20; round += 1) fillQueues();
  for (let round = 0; round < 240; round += 1) {
    const admitted = admission.release(teamOf(running.shift() ?? ''), view, 0);
    running.push(...admitted);
    for (const id of admitted) served.set(teamOf(id), (served.get(teamOf(id)) ?? 0) + 1);
    fillQueues();
  }
  return served;
}

describe('service admission', () => {
  it('admits requests up to the share of the entry and queues the others', () => {
    const admission = createServiceAdmission();
    const kinds = Array.from(
      { length: 6 },
      (_, index) => admission.arrive(request(`${index}`, 'desk'), view, 0).decision.kind,
    );
    assert.deepEqual(kinds, ['admitted', 'admitted', 'admitted', 'admitted', 'queued', 'queued']);
    assert.deepEqual(admission.release('desk', view, 0), ['4']);
  });

  it('serves teams in proportion to their shares under overload', () => {
    const served = admissionsUnderOverload({ desk: 1, piers: 3 });
    const ratio = (served.get('piers') ?? 0) / (served.get('desk') ?? 1);
    assert.ok(Math.abs(ratio - 3) < 0.3, `ratio ${ratio}`);
  });

  it('admits a small team before a large team that queued earlier', () => {
    const admission = createServiceAdmission();
    for (let index = 0; index < 12; index += 1) {
      admission.arrive(request(`large ${index}`, 'large'), view, 0);
    }
    admission.arrive(request('small', 'small'), view, 0);
    const admitted = admission.release('large', view, 0);
    assert.deepEqual(admitted, ['small']);
  });

  it('keeps headroom for other active teams', () => {
    const admission = createServiceAdmission();
    admission.arrive(request('small', 'small'), view, 0);
    admission.release('small', view, 10);
    const kinds = Array.from(
      { length: 5 },
      (_, index) => admission.arrive(request(`large ${index}`, 'large'), view, 20).decision.kind,
    );
    assert.deepEqual(kinds, ['admitted', 'admitted', 'admitted', 'queued', 'queued']);
    assert.equal(admission.arrive(request('again', 'small'), view, 30).decision.kind, 'admitted');
    assert.deepEqual(
      ['small', 'large'].map((team) => admission.isWithinShare(team)),
      [true, false],
    );
    assert.deepEqual(admission.release('large', view, 6_000), ['large 3']);
  });

  it('refuses a team whose queue is full but still queues another team', () => {
    const admission = createServiceAdmission();
    const last = Array.from({ length: 40 }, (_, index) =>
      admission.arrive(request(`large ${index}`, 'large'), view, 0),
    ).at(-1);
    assert.equal(last?.decision.kind, 'refused');
    assert.equal(admission.arrive(request('small', 'small'), view, 0).decision.kind, 'queued');
  });

  it('uses spare capacity of other entries and returns it when requests wait at upstreams', () => {
    const admission = createServiceAdmission();
    const idleView = { ...view, running: 2 };
    for (let now = 0; now < 10_000; now += 500) {
      while (admission.queued === 0) {
        const id = `${now} ${admission.inProgress}`;
        if (admission.arrive(request(id, 'desk'), idleView, now).decision.kind === 'refused') break;
      }
      admission.release('desk', idleView, now);
    }
    assert.equal(admission.inProgress, view.capacity);
    const overloadedView = { ...view, waiting: 4 };
    for (let now = 10_000; now < 20_000; now += 1_000) {
      admission.arrive(request(`late ${now}`, 'desk'), overloadedView, now);
    }
    for (let index = 0; index < 4; index += 1) admission.release('desk', overloadedView, 20_000);
    assert.equal(admission.inProgress, view.capacity / view.entries);
  });

  it('loses no request and admits none twice for any order of events', () => {
    const events = fastCheck.array(
      fastCheck.record({
        kind: fastCheck.constantFrom('arrive', 'leave', 'withdraw'),
        team: fastCheck.constantFrom('desk', 'piers', 'office'),
        waiting: fastCheck.integer({ min: 0, max: 8 }),
      }),
      { maxLength: 200 },
    );
    fastCheck.assert(
      fastCheck.property(events, (sequence) => {
        const admission = createServiceAdmission();
        const waiting = new Map<string, string>();
        const running: string[] = [];
        const moveToRunning = (ids: readonly string[]): void => {
          for (const id of ids) {
            running.push(waiting.get(id) ?? assert.fail(`${id} is not waiting`));
            waiting.delete(id);
          }
        };
        sequence.forEach((event, index) => {
          const currentView = { ...view, waiting: event.waiting };
          const now = index * 300;
          const leaving = running[0];
          const [withdrawn] = waiting.keys();
          if (event.kind === 'arrive') {
            const arrival = request(`${index}`, event.team);
            const { decision, admitted } = admission.arrive(arrival, currentView, now);
            moveToRunning(admitted);
            if (decision.kind === 'admitted') running.push(event.team);
            if (decision.kind === 'queued') waiting.set(`${index}`, event.team);
          } else if (event.kind === 'leave' && leaving !== undefined) {
            running.shift();
            moveToRunning(admission.release(leaving, currentView, now));
          } else if (event.kind === 'withdraw' && withdrawn !== undefined) {
            assert.equal(admission.cancel(withdrawn), waiting.delete(withdrawn));
          }
          assert.equal(admission.inProgress, running.length);
          assert.equal(admission.queued, waiting.size);
        });
      }),
    );
  });
});
