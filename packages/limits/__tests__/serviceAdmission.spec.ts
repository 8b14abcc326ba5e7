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

/** Keeps the queues of teams full and counts what each gets out of 240 admissions. */
function admissionsUnderPressure(shares: Readonly<Record<string, number>>) {
  const admission = createServiceAdmission();
  const served = new Map<string, number>();
  const running: string[] = [];
  let number = 0;
  const fill = (): void => {
    for (const [team, share] of Object.entries(shares)) {
      number += 1;
      const id = `${team} ${number}`;
      const { decision, admitted } = admission.arrive(request(id, team, share), view, 0);
      running.push(...admitted);
      if (decision.kind === 'admitted') running.push(id);
    }
  };
  for (let round = 0; round < 20; round += 1) fill();
  for (let round = 0; round < 240; round += 1) {
    const admitted = admission.leave(teamOf(running.shift() ?? ''), view, 0);
    running.push(...admitted);
    for (const id of admitted) served.set(teamOf(id), (served.get(teamOf(id)) ?? 0) + 1);
    fill();
  }
  return served;
}

describe('the admission of a service', () => {
  it('lets an entry use its part of the capacity and queues what is above', () => {
    const admission = createServiceAdmission();
    const kinds = Array.from(
      { length: 6 },
      (_, place) => admission.arrive(request(`${place}`, 'desk'), view, 0).decision.kind,
    );
    assert.deepEqual(kinds, ['admitted', 'admitted', 'admitted', 'admitted', 'queued', 'queued']);
    assert.deepEqual(admission.leave('desk', view, 0), ['4']);
  });

  it('serves teams in proportion to their shares under pressure', () => {
    const served = admissionsUnderPressure({ desk: 1, piers: 3 });
    const ratio = (served.get('piers') ?? 0) / (served.get('desk') ?? 1);
    assert.ok(Math.abs(ratio - 3) < 0.3, `ratio ${ratio}`);
  });

  it('serves a small team next although a large one waits in front of it', () => {
    const admission = createServiceAdmission();
    for (let place = 0; place < 12; place += 1) {
      admission.arrive(request(`large ${place}`, 'large'), view, 0);
    }
    admission.arrive(request('small', 'small'), view, 0);
    const admitted = admission.leave('large', view, 0);
    assert.deepEqual(admitted, ['small']);
  });

  it('keeps room for other teams once they have been seen', () => {
    const admission = createServiceAdmission();
    admission.arrive(request('small', 'small'), view, 0);
    admission.leave('small', view, 10);
    const kinds = Array.from(
      { length: 5 },
      (_, place) => admission.arrive(request(`large ${place}`, 'large'), view, 20).decision.kind,
    );
    assert.deepEqual(kinds, ['admitted', 'admitted', 'admitted', 'queued', 'queued']);
    assert.equal(admission.arrive(request('again', 'small'), view, 30).decision.kind, 'admitted');
    assert.deepEqual(
      ['small', 'large'].map((team) => admission.isWithinShare(team)),
      [true, false],
    );
    assert.deepEqual(admission.leave('large', view, 6_000), ['large 3']);
  });

  it('refuses a team with a full queue at once and still queues another', () => {
    const admission = createServiceAdmission();
    const last = Array.from({ length: 40 }, (_, place) =>
      admission.arrive(request(`large ${place}`, 'large'), view, 0),
    ).at(-1);
    assert.equal(last?.decision.kind, 'refused');
    assert.equal(admission.arrive(request('small', 'small'), view, 0).decision.kind, 'queued');
  });

  it('borrows what other entries leave unused and gives it back when requests wait', () => {
    const admission = createServiceAdmission();
    const idle = { ...view, running: 2 };
    for (let now = 0; now < 10_000; now += 500) {
      while (admission.queued === 0) {
        const id = `${now} ${admission.inProgress}`;
        if (admission.arrive(request(id, 'desk'), idle, now).decision.kind === 'refused') break;
      }
      admission.leave('desk', idle, now);
    }
    assert.equal(admission.inProgress, view.capacity);
    const crowded = { ...view, waiting: 4 };
    for (let now = 10_000; now < 20_000; now += 1_000) {
      admission.arrive(request(`late ${now}`, 'desk'), crowded, now);
    }
    for (let place = 0; place < 4; place += 1) admission.leave('desk', crowded, 20_000);
    assert.equal(admission.inProgress, view.capacity / view.entries);
  });

  it('loses no request and admits none twice, whatever the order of events', () => {
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
        const takeWaiting = (ids: readonly string[]): void => {
          for (const id of ids) {
            running.push(waiting.get(id) ?? assert.fail(`${id} does not wait`));
            waiting.delete(id);
          }
        };
        sequence.forEach((event, place) => {
          const present = { ...view, waiting: event.waiting };
          const now = place * 300;
          const leaving = running[0];
          const [withdrawn] = waiting.keys();
          if (event.kind === 'arrive') {
            const arrival = request(`${place}`, event.team);
            const { decision, admitted } = admission.arrive(arrival, present, now);
            takeWaiting(admitted);
            if (decision.kind === 'admitted') running.push(event.team);
            if (decision.kind === 'queued') waiting.set(`${place}`, event.team);
          } else if (event.kind === 'leave' && leaving !== undefined) {
            running.shift();
            takeWaiting(admission.leave(leaving, present, now));
          } else if (event.kind === 'withdraw' && withdrawn !== undefined) {
            assert.equal(admission.withdraw(withdrawn), waiting.delete(withdrawn));
          }
          assert.equal(admission.inProgress, running.length);
          assert.equal(admission.queued, waiting.size);
        });
      }),
    );
  });
});
