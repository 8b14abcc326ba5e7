import { parseArgs } from 'node:util';
import { measureFaultNames, type MeasureFaultName } from './measureFaults.js';

/** Distribution plans for weights. */
export const planNames = ['swarm', 'origin', 'chain', 'tree'] as const;
export type PlanName = (typeof planNames)[number];

/** Options of a measurement. */
export interface MeasureOptions {
  readonly replicas: readonly number[];
  readonly dataCentres: number;
  readonly plans: readonly PlanName[];
  /** Runs of each plan at each replica count. */
  readonly rounds: number;
  /** Live requests per second over all entries; 0 for none. */
  readonly liveLoad: number;
  readonly fault: MeasureFaultName;
  readonly weightBytes: number;
  readonly chunkBytes: number;
  /** Time in which the origin's link carries four copies of the weights and a machine's link two. */
  readonly windowSeconds: number;
  /** Share of a machine's link that its agent may use for weights, 0 to 1. */
  readonly weightLinkShare: number;
  /** Share of chunks that the new version has in common with the old one, 0 to 1. */
  readonly sharedChunks: number;
  /** Longest time to wait for one rollout. */
  readonly timeoutSeconds: number;
  readonly seed: number;
  readonly json: boolean;
  /** Path of the plot to write; no plot when absent. */
  readonly plot?: string;
}

const MEBIBYTE = 1024 * 1024;
const KIBIBYTE = 1024;

const defaults = {
  replicas: '12',
  'data-centres': '3',
  'live-load': '0',
  fault: 'none',
  size: '8',
  chunk: '64',
  window: '32',
  pace: '0.9',
  shared: '0',
  bound: '240',
  seed: '1',
} as const;

/** Command-line usage. */
export const measureUsage = `usage: npm run measure -- [--replicas N[,N...]] [--data-centres D]
  [--plan swarm|origin|chain|tree|all[,...]] [--rounds R] [--live-load REQUESTS_PER_SECOND]
  [--fault ${measureFaultNames.join('|')}] [--size MIB] [--chunk KIB] [--window SECONDS]
  [--pace SHARE] [--shared SHARE] [--bound SECONDS] [--seed N] [--plot FILE.svg] [--json]
`;

function parsePlans(text: string): readonly PlanName[] {
  if (text === 'all') return planNames;
  return text.split(',').map((name) => {
    const plan = planNames.find((candidate) => candidate === name);
    if (plan === undefined) throw new Error(`unknown plan ${name}`);
    return plan;
  });
}

function parseFaultName(text: string): MeasureFaultName {
  const found = measureFaultNames.find((candidate) => candidate === text);
  if (found === undefined) throw new Error(`unknown fault ${text}`);
  return found;
}

/** Default number of rounds: several plans are compared by medians of three runs. */
function defaultRounds(plans: readonly PlanName[]): number {
  return plans.length > 1 ? 3 : 1;
}

/**
 * Parses the command line.
 *
 * @throws Error naming the invalid option or value.
 */
export function parseMeasureOptions(parameters: readonly string[]): MeasureOptions {
  const { values } = parseArgs({
    args: [...parameters],
    options: {
      replicas: { type: 'string' },
      'data-centres': { type: 'string' },
      plan: { type: 'string' },
      rounds: { type: 'string' },
      'live-load': { type: 'string' },
      fault: { type: 'string' },
      size: { type: 'string' },
      chunk: { type: 'string' },
      window: { type: 'string' },
      pace: { type: 'string' },
      shared: { type: 'string' },
      bound: { type: 'string' },
      seed: { type: 'string' },
      plot: { type: 'string' },
      json: { type: 'boolean' },
    },
  });
  const text = (name: keyof typeof defaults): string => values[name] ?? defaults[name];
  const number = (name: keyof typeof defaults): number => {
    const value = Number(text(name));
    if (!Number.isFinite(value) || value < 0)
      throw new Error(`--${name}: expected a non-negative number`);
    return value;
  };
  const plans = parsePlans(values.plan ?? 'swarm');
  const replicas = text('replicas').split(',').map(Number);
  if (replicas.some((count) => !Number.isInteger(count) || count < 1)) {
    throw new Error('--replicas: expected positive whole numbers');
  }
  return {
    replicas,
    dataCentres: Math.max(1, number('data-centres')),
    plans,
    rounds: values.rounds === undefined ? defaultRounds(plans) : Math.max(1, Number(values.rounds)),
    liveLoad: number('live-load'),
    fault: parseFaultName(text('fault')),
    weightBytes: number('size') * MEBIBYTE,
    chunkBytes: number('chunk') * KIBIBYTE,
    windowSeconds: number('window'),
    weightLinkShare: number('pace'),
    sharedChunks: number('shared'),
    timeoutSeconds: number('bound'),
    seed: number('seed'),
    json: values.json ?? false,
    ...(values.plot === undefined ? {} : { plot: values.plot }),
  };
}
