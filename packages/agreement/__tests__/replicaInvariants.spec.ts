import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { createSimulation } from './replicaSimulation.js';
import { stepKinds, type Step } from './simulationSteps.js';

/** Whether each slot of a group is durable. */
const layouts = {
  'three durable replicas': [true, true, true],
  'one durable replica and two in memory': [true, false, false],
  'two durable replicas and two in memory': [true, true, false, false],
  'two durable replicas and three in memory': [true, true, false, false, false],
} as const;

const RUNS_PER_LAYOUT = 400;
const STEPS = { minLength: 50, maxLength: 600 };

/** Time steps within which a group must commit again after all faults have ended. */
const MAXIMUM_SETTLING_TIME_STEPS = 400;

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
  kind: fc.constantFrom(...stepKinds),
  first: fc.nat(1_000),
  second: fc.nat(1_000_000),
});
const schedule = fc.noBias(fc.array(stepArbitrary, { ...STEPS, size: 'max' }));

describe('a group under any schedule of failures', () => {
  for (const [name, durability] of Object.entries(layouts)) {
    it(`keeps committed commands, answers no stale query and recovers: ${name}`, () => {
      let committed = 0;
      let elections = 0;
      fc.assert(
        fc.property(fc.noBias(fc.integer()), schedule, (seed, steps) => {
          const simulation = createSimulation(durability, seed);
          assert.ok(
            simulation.settle(MAXIMUM_SETTLING_TIME_STEPS),
            'the new group commits a command',
          );
          for (const step of steps) simulation.step(step);
          const settled = simulation.settle(MAXIMUM_SETTLING_TIME_STEPS);
          assert.ok(
            settled || !simulation.recoverable,
            'the group commits again after all faults have ended',
          );
          committed += simulation.committed;
          elections += simulation.elections;
        }),
        { numRuns: RUNS_PER_LAYOUT, endOnFailure: true },
      );
      assert.ok(committed > RUNS_PER_LAYOUT, 'the schedules commit commands');
      assert.ok(elections > 2 * RUNS_PER_LAYOUT, 'the schedules change leaders');
    });
  }
});
