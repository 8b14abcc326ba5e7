import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createSeededRandom } from '@burdockrail/common/seededRandom.js';
import { replayArrivals } from '../src/replayFleet.js';
import { countUnwanted } from '../src/replayNotices.js';
import { drawArrivals } from '../src/replayTraffic.js';
import { replayScenario } from '../src/replayMain.js';
import { replayScenarios } from '../src/replayScenarios.js';
import type { ReplayNotice, ReplayResult } from '../src/replayTypes.js';
import { createVirtualClock } from '../src/virtualClock.js';

const SEEDS = 2;

/** Time in which all entries learn what one of them knows, in milliseconds. */
const CONTACT_MILLISECONDS = 3_000;

function scenarioNamed(name: string) {
  const scenario = replayScenarios.find((candidate) => candidate.name === name);
  assert.ok(scenario !== undefined);
  return scenario;
}

describe('replay of load patterns', () => {
  it('serves all requests on time while arrivals are below the capacity', () => {
    const { onTime, refused } = replayScenario(scenarioNamed('calm'), 'agents', SEEDS);
    assert.ok(onTime > 0.99, `${onTime}`);
    assert.equal(refused, 0);
  });

  it('produces few late answers while arrivals exceed the capacity by a third', () => {
    const { onTime, late, largestServed } = replayScenario(
      scenarioNamed('overload'),
      'agents',
      SEEDS,
    );
    // 72 arrivals per second on six engines that serve 10 each: at most 0.83 can be on time.
    assert.ok(onTime > 0.78, `${onTime} on time`);
    assert.ok(late < 0.05, `${late} late`);
    assert.ok(largestServed > onTime / 2, `${largestServed} of the largest`);
  });

  it('refuses excess requests quickly and serves a fair share of the largest requests', () => {
    const { onTime, late, largestServed, longestRefusal } = replayScenario(
      scenarioNamed('storm'),
      'agents',
      SEEDS,
    );
    assert.ok(onTime > 0.5, `${onTime} on time`);
    assert.ok(late < 0.05, `${late} late`);
    assert.ok(largestServed > (onTime + late) / 2, `${largestServed} of the largest`);
    assert.ok(longestRefusal < 250, `${longestRefusal} ms until a refusal`);
  });

  it('yields more worth when agents grant slots than when each entry decides alone', () => {
    const scenario = scenarioNamed('overload');
    const agents = replayScenario(scenario, 'agents', 1);
    const alone = replayScenario(scenario, 'alone', 1);
    assert.ok(agents.net > alone.net + 0.2, `${agents.net} and ${alone.net}`);
  });

  it('keeps requests that crash engines away from them, and serves the others', () => {
    const scenario = scenarioNamed('crashes');
    for (const seed of [1, 2, 3]) {
      const arrivals = drawArrivals(scenario.traffic, createSeededRandom(seed));
      const results = replayArrivals({ ...scenario.fleet, seed }, arrivals);
      const crashingSent = results
        .filter(({ arrival }) => arrival.isCrashing)
        .flatMap(({ sent }) => sent.map(({ at }) => at))
        .sort((left, right) => left - right);
      const fifth = crashingSent[4] ?? Number.POSITIVE_INFINITY;
      const late = crashingSent.filter((at) => at > fifth + CONTACT_MILLISECONDS);
      assert.ok(late.length <= 3, `${late.length} sent late with seed ${seed}`);
      const sound = results.filter(({ arrival }) => !arrival.isCrashing);
      const after = sound.filter(({ arrival }) => arrival.at > fifth + 2 * CONTACT_MILLISECONDS);
      const served = after.filter(({ outcome }) => outcome !== 'refused').length;
      assert.ok(served > after.length / 2, `${served} of ${after.length} with seed ${seed}`);
    }
    const withQuarantine = replayScenario(scenario, 'agents', SEEDS);
    const without = { ...scenario, fleet: { ...scenario.fleet, quarantines: false } };
    assert.ok(withQuarantine.net > replayScenario(without, 'agents', SEEDS).net + 0.2);
  });

  it('sends engines no more than the limits that they name, and serves all requests', () => {
    const scenario = scenarioNamed('limits');
    const arrivals = drawArrivals(scenario.traffic, createSeededRandom(1));
    const results = replayArrivals({ ...scenario.fleet, seed: 1 }, arrivals);
    for (const { engine, requestsPerSecond, fromSecond } of scenario.fleet.limits ?? []) {
      const times = results
        .flatMap(({ sent }) => sent)
        .filter((sending) => sending.engine === String(engine))
        .map(({ at }) => at)
        .filter((at) => at > fromSecond * 1_000 + CONTACT_MILLISECONDS);
      const most = Math.max(
        ...times.map((start) => times.filter((at) => at >= start && at < start + 4_000).length),
      );
      assert.ok(most <= 1.5 * 4 * requestsPerSecond + 5, `${most} in 4 s`);
    }
    const { onTime, refused } = replayScenario(scenario, 'agents', SEEDS);
    assert.ok(onTime > 0.95, `${onTime}`);
    assert.ok(refused < 0.05, `${refused}`);
  });

  it('keeps requests from engines that rest or leave, and serves almost all requests', () => {
    for (const name of ['rests', 'departures']) {
      const scenario = scenarioNamed(name);
      const arrivals = drawArrivals(scenario.traffic, createSeededRandom(1));
      const results = replayArrivals({ ...scenario.fleet, seed: 1 }, arrivals);
      const engines = new Set(
        results.flatMap(({ notices }) => notices.map(({ engine }) => engine)),
      );
      assert.deepEqual([...engines].sort(), ['0', '1'], name);
      const { mostDuringRest, afterDepartures } = countUnwanted(results);
      assert.ok(mostDuringRest <= 2, `${name}: ${mostDuringRest} during a rest`);
      assert.equal(afterDepartures, 0, name);
      const refused = results.filter(({ outcome }) => outcome === 'refused').length;
      assert.ok(refused < 0.05 * results.length, `${name}: ${refused} of ${results.length}`);
    }
  });

  it('gives the same results for the same seed', () => {
    const scenario = scenarioNamed('brim');
    assert.deepEqual(replayScenario(scenario, 'agents', 1), replayScenario(scenario, 'agents', 1));
  });
});

describe('countUnwanted', () => {
  const [arrival] = drawArrivals(scenarioNamed('calm').traffic, createSeededRandom(1));
  const resultOf = (
    notice: Pick<ReplayNotice, 'kind' | 'until'>,
    times: readonly number[],
    entry = 0,
  ): ReplayResult => {
    assert.ok(arrival !== undefined);
    const sent = times.map((at) => ({ engine: '0', entry, at }));
    const notices = [{ ...notice, engine: '0', entry: 0, at: 1_000 }];
    const figures = { firstMilliseconds: 1, refusalMilliseconds: 0, refusals: 0 };
    return { arrival, outcome: 'onTime', ...figures, sent, notices };
  };

  it('counts what the same entry sends between half a second after a refusal and the end', () => {
    const rest = { kind: 'rests', until: 3_000 } as const;
    const counts = countUnwanted([resultOf(rest, [1_500, 1_501, 2_999, 3_000])]);
    assert.deepEqual(counts, { mostDuringRest: 2, duringRests: 2, afterDepartures: 0 });
    assert.equal(countUnwanted([resultOf(rest, [1_501, 2_999], 1)]).duringRests, 0);
  });

  it('counts what the same entry sends over two seconds after a notice of a departure', () => {
    const departure = { kind: 'leaves', until: Number.POSITIVE_INFINITY } as const;
    const counts = countUnwanted([resultOf(departure, [3_000, 3_001])]);
    assert.deepEqual(counts, { mostDuringRest: 0, duringRests: 0, afterDepartures: 1 });
  });
});

describe('createVirtualClock', () => {
  it('runs events in order of time, and events at the same time in the order they were scheduled', () => {
    const clock = createVirtualClock();
    const seen: string[] = [];
    clock.schedule(20, () => seen.push('c'));
    clock.schedule(10, () => {
      seen.push('a');
      clock.schedule(0, () => seen.push('b'));
      clock.schedule(15, () => seen.push('d'));
    });
    clock.schedule(100, () => seen.push('never'));
    clock.runUntil(50);
    assert.deepEqual(seen, ['a', 'b', 'c', 'd']);
    assert.equal(clock.now(), 50);
  });
});
