import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import type { Guard } from './claimAgents.js';
import { brokenPromise, createClaimWorld, type ClaimWorld } from './claimWorld.js';

/** Seed of all runs; another one is tried with `BURDOCKRAIL_SEED=n npm test -- ledger`. */
const seed = Number(process.env.BURDOCKRAIL_SEED ?? 20_261_204);

/** Schedules for the whole protocol, and at most for each guard left out. */
const SCHEDULES = 10_000;
const SCHEDULES_WITHOUT_GUARD = 40_000;
const CHOICE_BOUND = 10_000;

function runWorld(numbers: readonly number[], missing?: Guard): ClaimWorld {
  let next = 0;
  const choose = (bound: number): number => {
    const number = numbers[next] ?? 0;
    next += 1;
    return number % bound;
  };
  const world = createClaimWorld(choose, missing);
  while (next < numbers.length) world.act();
  world.settle();
  return world;
}

const schedules = fc.array(fc.nat(CHOICE_BOUND), { minLength: 40, maxLength: 400, size: 'max' });

describe('the protocol of non-repeatable requests', () => {
  it('runs a key at most once and says not-run only where nothing ran', () => {
    let runs = 0;
    let notRun = 0;
    let replayed = 0;
    fc.assert(
      fc.property(schedules, (numbers) => {
        const world = runWorld(numbers);
        assert.equal(brokenPromise(world), null);
        runs += world.runs.length;
        for (const { told } of world.sendings) {
          if (told?.answer.kind === 'refused' && told.answer.run === 'not-run') notRun += 1;
          if (told?.answer.kind === 'replayed') replayed += 1;
        }
      }),
      { seed, numRuns: SCHEDULES },
    );
    // The schedules must reach what they are to check.
    for (const count of [runs, notRun, replayed]) assert.ok(count > SCHEDULES / 50, String(count));
  });

  const guards: readonly Guard[] = [
    'agent-keeps-fences',
    'agent-checks-incarnation',
    'agent-runs-attempt-once',
    'ledger-grants-once',
    'release-names-attempt',
    'decline-holds',
  ];
  for (const guard of guards) {
    it(`breaks a promise without the guard ${guard}`, () => {
      const property = fc.property(schedules, (numbers) => {
        return brokenPromise(runWorld(numbers, guard)) === null;
      });
      const bounds = { seed, numRuns: SCHEDULES_WITHOUT_GUARD, endOnFailure: true };
      const { counterexample, numRuns } = fc.check(property, bounds);
      assert.notEqual(counterexample, null, `no failure in ${numRuns} schedules`);
      const broken = brokenPromise(runWorld(counterexample?.[0] ?? [], guard));
      assert.notEqual(broken, null);
    });
  }
});
