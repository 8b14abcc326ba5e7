import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { createSimulation, stepKinds, type Step } from './replicaSimulation.js';

/** Groups by name: whether each slot is durable. */
const layouts = {
  'three durable replicas': [true, true, true],
  'one durable replica and two in memory': [true, false, false],
  'two durable replicas and three in memory': [true, true, false, false, false],
} as const;

const RUNS_PER_LAYOUT = 600;

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
  kind: fc.constantFrom(...stepKinds),
  first: fc.nat(1_000),
  second: fc.nat(1_000_000),
});
const schedule = fc.array(stepArbitrary, { minLength: 20, maxLength: 400, size: 'max' });

describe('a group under any schedule of failures', () => {
  for (const [name, durability] of Object.entries(layouts)) {
    it(`keeps what it committed and answers no stale query: ${name}`, () => {
      let committed = 0;
      fc.assert(
        fc.property(fc.integer(), schedule, (seed, steps) => {
          const simulation = createSimulation(durability, seed);
          assert.ok(simulation.settle(60), 'the group elects a leader');
          for (const step of steps) simulation.step(step);
          committed += simulation.committed;
        }),
        { numRuns: RUNS_PER_LAYOUT },
      );
      assert.ok(committed > RUNS_PER_LAYOUT, 'the schedules commit commands');
    });
  }
});
