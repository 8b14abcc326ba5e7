import { parseArgs } from 'node:util';

/** A team and its relative share of the arrivals. */
export interface TeamShare {
  readonly name: string;
  readonly share: number;
}

/** Options of the load tool. */
export interface LoadOptions {
  readonly requestsPerSecond: number;
  readonly seconds: number;
  readonly seed: number;
  readonly teams: readonly TeamShare[];
  /** Share of the arrivals that go to the plain service, 0 to 1. */
  readonly plainShare: number;
  readonly agents: number;
  readonly dataCentres: number;
  /** Number of distinct prompt prefixes; their use follows Zipf's law. */
  readonly prefixes: number;
  /** Length of a prefix, in blocks of the engines' prefix cache. */
  readonly prefixBlocks: number;
  readonly tokens: number;
  /** Share of the upstreams that answer each request with an error, 0 to 1. */
  readonly failingShare: number;
  readonly json: boolean;
}

const defaults = {
  rate: '50',
  seconds: '10',
  seed: '1',
  teams: 'piers:8,desk:1,guests:1',
  plain: '0.1',
  agents: '6',
  'data-centres': '3',
  prefixes: '12',
  'prefix-blocks': '8',
  tokens: '16',
  failing: '0',
} as const;

/** Command-line usage. */
export const loadUsage = `usage: node scripts/load.mjs [--rate REQUESTS_PER_SECOND] [--seconds S]
  [--seed N] [--teams NAME:SHARE,...] [--plain SHARE] [--agents N] [--data-centres D]
  [--prefixes N] [--prefix-blocks N] [--tokens N] [--failing SHARE] [--json]
`;

function parseTeams(text: string): readonly TeamShare[] {
  return text.split(',').map((part) => {
    const [name = '', share = '1'] = part.split(':');
    if (name === '' || !(Number(share) > 0))
      throw new Error(`--teams: expected NAME:SHARE with a positive share, got ${part}`);
    return { name, share: Number(share) };
  });
}

/**
 * Parses the command line.
 *
 * @throws Error naming the invalid option.
 */
export function parseLoadOptions(parameters: readonly string[]): LoadOptions {
  const { values } = parseArgs({
    args: [...parameters],
    options: {
      rate: { type: 'string' },
      seconds: { type: 'string' },
      seed: { type: 'string' },
      teams: { type: 'string' },
      plain: { type: 'string' },
      agents: { type: 'string' },
      'data-centres': { type: 'string' },
      prefixes: { type: 'string' },
      'prefix-blocks': { type: 'string' },
      tokens: { type: 'string' },
      failing: { type: 'string' },
      json: { type: 'boolean' },
    },
  });
  const number = (name: keyof typeof defaults): number => {
    const value = Number(values[name] ?? defaults[name]);
    if (!Number.isFinite(value) || value < 0)
      throw new Error(`--${name}: expected a non-negative number`);
    return value;
  };
  return {
    requestsPerSecond: number('rate'),
    seconds: number('seconds'),
    seed: number('seed'),
    teams: parseTeams(values.teams ?? defaults.teams),
    plainShare: number('plain'),
    agents: number('agents'),
    dataCentres: number('data-centres'),
    prefixes: Math.max(1, number('prefixes')),
    prefixBlocks: number('prefix-blocks'),
    tokens: number('tokens'),
    failingShare: number('failing'),
    json: values.json ?? false,
  };
}
