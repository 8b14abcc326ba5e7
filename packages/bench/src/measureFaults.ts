import type { System } from '@burdockrail/harness/system.js';
import { measureNames } from './measureLayout.js';

/** Faults that can be injected during a rollout. */
export const measureFaultNames = [
  'none',
  'kill-tenth',
  'corrupt-origin',
  'stall-origin',
  'cut-region',
] as const;
export type MeasureFaultName = (typeof measureFaultNames)[number];

/** Result of a fault injection. */
export interface FaultResult {
  /** Agents that were killed and therefore never go live. */
  readonly killedAgents: readonly string[];
}

const TENTH = 10;
const CORRUPT_SHARE = 0.05;
const STALL_COUNT = 3;
const STALL_MILLISECONDS = 2_000;
const PARTITION_MILLISECONDS = 3_000;

const noAgentsKilled: FaultResult = { killedAgents: [] };

/** Fault injections by name, for use during a rollout. */
export const faultInjections: Readonly<
  Record<MeasureFaultName, (system: System) => Promise<FaultResult>>
> = {
  none: async () => Promise.resolve(noAgentsKilled),
  'kill-tenth': async (system) => {
    const agents = system.agentsOf(measureNames.model).map(({ name }) => name);
    const count = Math.max(1, Math.round(agents.length / TENTH));
    const step = agents.length / count;
    const killed = Array.from(
      { length: count },
      (_agent, index) => agents[Math.floor(index * step)],
    );
    const names = killed.filter((name) => name !== undefined);
    await Promise.all(names.map(async (name) => system.processes.kill(name)));
    return { killedAgents: names };
  },
  'corrupt-origin': async (system) => {
    await system.origin.faults([{ kind: 'corrupt', share: CORRUPT_SHARE }]);
    return noAgentsKilled;
  },
  'stall-origin': async (system) => {
    await system.origin.faults([
      { kind: 'stall', milliseconds: STALL_MILLISECONDS, times: STALL_COUNT },
    ]);
    return noAgentsKilled;
  },
  'cut-region': async (system) => {
    const region = system.layout.dataCentres.at(-1)?.region ?? '';
    const heal = await system.links.cut({ region }, {});
    setTimeout(() => void heal(), PARTITION_MILLISECONDS);
    return noAgentsKilled;
  },
};
