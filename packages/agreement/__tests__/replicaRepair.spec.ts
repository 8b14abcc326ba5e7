import { describe, it } from 'node:test';
import { createSeededRandom } from '@burdockrail/common/seededRandom.js';
import fc from 'fast-check';
import { createSimulation, type Simulation } from './replicaSimulation.js';
import type { Step } from './simulationSteps.js';

const RUNS = 1_500;
const MAXIMUM_PHASE_TIME_STEPS = 60;

const MAXIMUM_TIME_STEP_MILLISECONDS = 40;

const durability = [true, true, false, false];

function run(simulation: Simulation, timeSteps: number, seed: number): void {
  const random = createSeededRandom(seed);
  for (let count = 0; count < timeSteps; count += 1) {
    simulation.step({
      kind: 'timeStep',
      first: 0,
      second: random.nextInteger(MAXIMUM_TIME_STEP_MILLISECONDS),
    });
    simulation.step({ kind: 'propose', first: 0, second: random.nextInteger(2) });
  }
}

const phaseTimeSteps = fc.noBias(fc.nat(MAXIMUM_PHASE_TIME_STEPS));
const diskIndex = fc.constantFrom(0, 1);

describe('a group with two durable replicas and two in memory', () => {
  it('does not split in two when one disk is replaced while the other is isolated', () => {
    const property = fc.property(
      fc.noBias(fc.integer()),
      diskIndex,
      phaseTimeSteps,
      phaseTimeSteps,
      phaseTimeSteps,
      (seed, wipedDisk, timeStepsBeforeCut, timeStepsWhileCut, timeStepsAfterwards) => {
        const otherDisk = 1 - wipedDisk;
        const steps = (...kinds: readonly Step['kind'][]): void => {
          for (const kind of kinds) simulation.step({ kind, first: otherDisk, second: wipedDisk });
        };
        const simulation = createSimulation(durability, seed);
        simulation.settle(MAXIMUM_PHASE_TIME_STEPS);
        simulation.step({ kind: 'wipeDisk', first: wipedDisk, second: 0 });
        run(simulation, timeStepsBeforeCut, seed);
        steps('isolate');
        run(simulation, timeStepsWhileCut, seed + 1);
        steps('crashMemory', 'heal', 'cutOneWay');
        simulation.step({ kind: 'cutOneWay', first: wipedDisk, second: otherDisk });
        run(simulation, timeStepsAfterwards, seed + 2);
        steps('heal');
        run(simulation, timeStepsAfterwards, seed + 3);
      },
    );
    fc.assert(property, { numRuns: RUNS, endOnFailure: true });
  });
});
