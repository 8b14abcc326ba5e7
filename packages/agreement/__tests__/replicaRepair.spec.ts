import { describe, it } from 'node:test';
import { createSeededRandom } from '@burdockrail/common/seededRandom.js';
import fc from 'fast-check';
import { createSimulation, type Simulation } from './replicaSimulation.js';
import type { Step } from './simulationSteps.js';

const RUNS = 1_500;
const LONGEST_PHASE_TURNS = 60;

/** Milliseconds of a turn come from the step's second number. */
const LONGEST_TURN = 40;

const durability = [true, true, false, false];

function run(simulation: Simulation, turns: number, seed: number): void {
  const random = createSeededRandom(seed);
  for (let count = 0; count < turns; count += 1) {
    simulation.step({ kind: 'turn', first: 0, second: random.below(LONGEST_TURN) });
    simulation.step({ kind: 'propose', first: 0, second: random.below(2) });
  }
}

const phase = fc.noBias(fc.nat(LONGEST_PHASE_TURNS));
const disk = fc.constantFrom(0, 1);

describe('a group with two disks and two replicas in memory', () => {
  it('stays one group when one disk is replaced while the other is cut off', () => {
    const property = fc.property(
      fc.noBias(fc.integer()),
      disk,
      phase,
      phase,
      phase,
      (seed, wiped, beforeCut, whileCut, afterwards) => {
        const other = 1 - wiped;
        const steps = (...kinds: readonly Step['kind'][]): void => {
          for (const kind of kinds) simulation.step({ kind, first: other, second: wiped });
        };
        const simulation = createSimulation(durability, seed);
        simulation.settle(LONGEST_PHASE_TURNS);
        simulation.step({ kind: 'wipe', first: wiped, second: 0 });
        run(simulation, beforeCut, seed);
        steps('isolate');
        run(simulation, whileCut, seed + 1);
        steps('crashMemory', 'heal', 'cutOneWay');
        simulation.step({ kind: 'cutOneWay', first: wiped, second: other });
        run(simulation, afterwards, seed + 2);
        steps('heal');
        run(simulation, afterwards, seed + 3);
      },
    );
    fc.assert(property, { numRuns: RUNS, endOnFailure: true });
  });
});
