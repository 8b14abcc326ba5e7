import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { playScenario } from '../src/replayMain.js';
import { replayScenarios } from '../src/replayScenarios.js';
import { createVirtualClock } from '../src/virtualClock.js';

const SEEDS = 2;

function scenarioNamed(name: string) {
  const scenario = replayScenarios.find((candidate) => candidate.name === name);
  assert.ok(scenario !== undefined);
  return scenario;
}

describe('the replay of load patterns', () => {
  it('serves all in time while arrivals stay below what the engines serve', () => {
    const { onTime, refused } = playScenario(scenarioNamed('calm'), 'agents', SEEDS);
    assert.ok(onTime > 0.99, `${onTime}`);
    assert.equal(refused, 0);
  });

  it('spends nothing on late answers while arrivals stay a third above that', () => {
    const { onTime, late, largestServed } = playScenario(
      scenarioNamed('overload'),
      'agents',
      SEEDS,
    );
    // 72 arrivals a second on six engines that serve 10 each: no more than 0.83 can be in time.
    assert.ok(onTime > 0.78, `${onTime} in time`);
    assert.ok(late < 0.05, `${late} late`);
    assert.ok(largestServed > onTime / 2, `${largestServed} of the largest`);
  });

  it('refuses at once what it cannot serve, and keeps the largest requests their share', () => {
    const { onTime, late, largestServed, longestRefusal } = playScenario(
      scenarioNamed('storm'),
      'agents',
      SEEDS,
    );
    assert.ok(onTime > 0.5, `${onTime} in time`);
    assert.ok(late < 0.05, `${late} late`);
    assert.ok(largestServed > (onTime + late) / 2, `${largestServed} of the largest`);
    assert.ok(longestRefusal < 250, `${longestRefusal} ms until a refusal`);
  });

  it('serves more when the owner of the places decides than when each entry does', () => {
    const scenario = scenarioNamed('overload');
    const agents = playScenario(scenario, 'agents', 1);
    const alone = playScenario(scenario, 'alone', 1);
    assert.ok(agents.net > alone.net + 0.2, `${agents.net} and ${alone.net}`);
  });

  it('comes to the same with the same seed', () => {
    const scenario = scenarioNamed('brim');
    assert.deepEqual(playScenario(scenario, 'agents', 1), playScenario(scenario, 'agents', 1));
  });
});

describe('the virtual clock', () => {
  it('runs events in the order of their times, and of their making at the same time', () => {
    const clock = createVirtualClock();
    const seen: string[] = [];
    clock.after(20, () => seen.push('c'));
    clock.after(10, () => {
      seen.push('a');
      clock.after(0, () => seen.push('b'));
      clock.after(15, () => seen.push('d'));
    });
    clock.after(100, () => seen.push('never'));
    clock.runUntil(50);
    assert.deepEqual(seen, ['a', 'b', 'c', 'd']);
    assert.equal(clock.now(), 50);
  });
});
