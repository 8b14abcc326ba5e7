import type { System } from '@burdockrail/harness/system.js';
import { measureNames } from './measureLayout.js';

/** Faults that can be brought about in the middle of a rollout. */
export const measureFaultNames = [
  'none',
  'kill-tenth',
  'corrupt-origin',
  'stall-origin',
  'cut-region',
] as const;
export type MeasureFaultName = (typeof measureFaultNames)[number];

/** What a fault leaves behind. */
export interface FaultResult {
  /** Agents that no longer take part. */
  readonly lost: readonly string[];
}

const TENTH = 10;
const CORRUPT_SHARE = 0.05;
const STALLS = 3;
const STALL_MILLISECONDS = 2_000;
const CUT_MILLISECONDS = 3_000;

const nothingLost: FaultResult = { lost: [] };

/** Brings each fault about; called once the rollout is under way. */
export const measureFaults: Readonly<
  Record<MeasureFaultName, (system: System) => Promise<FaultResult>>
> = {
  none: async () => Promise.resolve(nothingLost),
  'kill-tenth': async (system) => {
    const agents = system.agentsOf(measureNames.model).map(({ name }) => name);
    const count = Math.max(1, Math.round(agents.length / TENTH));
    const step = agents.length / count;
    const lost = Array.from({ length: count }, (_agent, index) => agents[Math.floor(index * step)]);
    const names = lost.filter((name) => name !== undefined);
    await Promise.all(names.map(async (name) => system.processes.kill(name)));
    return { lost: names };
  },
  'corrupt-origin': async (system) => {
    await system.origin.faults([{ kind: 'corrupt', share: CORRUPT_SHARE }]);
    return nothingLost;
  },
  'stall-origin': async (system) => {
    await system.origin.faults([
      { kind: 'stall', milliseconds: STALL_MILLISECONDS, times: STALLS },
    ]);
    return nothingLost;
  },
  'cut-region': async (system) => {
    const region = system.layout.dataCentres.at(-1)?.region ?? '';
    const heal = await system.links.cut({ region }, {});
    setTimeout(() => void heal(), CUT_MILLISECONDS);
    return nothingLost;
  },
};
