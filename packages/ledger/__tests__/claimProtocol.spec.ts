import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import type { Guard } from './claimAgents.js';
import { violatedGuarantee, createClaimModel, type ClaimModel } from './claimModel.js';

/** Seed of all runs; to use another one: `BURDOCKRAIL_SEED=n npm test -- ledger`. */
const seed = Number(process.env.BURDOCKRAIL_SEED ?? 20_261_204);

const SCHEDULES = 10_000;
/** Upper bound: a run without a guard stops at the first violation. */
const MAXIMUM_SCHEDULES_WITHOUT_GUARD = 40_000;
const CHOICE_BOUND = 10_000;

function runModel(numbers: readonly number[], disabledGuard?: Guard): ClaimModel {
  let next = 0;
  const choose = (bound: number): number => {
    const number = numbers[next] ?? 0;
    next += 1;
    return number % bound;
  };
  const model = createClaimModel(choose, disabledGuard);
  while (next < numbers.length) model.act();
  model.settle();
  return model;
}

const schedules = fc.array(fc.nat(CHOICE_BOUND), { minLength: 40, maxLength: 400, size: 'max' });

describe('the protocol of non-repeatable requests', () => {
  it('runs a key at most once and answers not-run only if nothing ran', () => {
    let runs = 0;
    let notRun = 0;
    let replayed = 0;
    fc.assert(
      fc.property(schedules, (numbers) => {
        const model = runModel(numbers);
        assert.equal(violatedGuarantee(model), null);
        runs += model.runs.length;
        for (const { callerAnswer } of model.submissions) {
          if (callerAnswer?.answer.kind === 'refused' && callerAnswer.answer.run === 'not-run')
            notRun += 1;
          if (callerAnswer?.answer.kind === 'replayed') replayed += 1;
        }
      }),
      { seed, numRuns: SCHEDULES },
    );
    // The schedules must include runs, not-run answers and replays often enough.
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
    it(`violates a guarantee without the guard ${guard}`, () => {
      const property = fc.property(schedules, (numbers) => {
        return violatedGuarantee(runModel(numbers, guard)) === null;
      });
      const bounds = { seed, numRuns: MAXIMUM_SCHEDULES_WITHOUT_GUARD, endOnFailure: true };
      const { counterexample, numRuns } = fc.check(property, bounds);
      assert.notEqual(counterexample, null, `no failure in ${numRuns} schedules`);
      const violation = violatedGuarantee(runModel(counterexample?.[0] ?? [], guard));
      assert.notEqual(violation, null);
    });
  }
});
