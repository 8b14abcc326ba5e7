import { parseArgs } from 'node:util';
import { createSeededRandom } from '@burdockrail/common/seededRandom.js';
import { replayArrivals } from './replayFleet.js';
import { countUnwanted, sumUnwanted } from './replayNotices.js';
import type { RoutingMode } from './replayTypes.js';
import { replayScenarios, type ReplayScenario } from './replayScenarios.js';
import { summarizeReplay, type ReplaySummary } from './replaySummary.js';
import { drawArrivals } from './replayTraffic.js';

const routingModes: readonly RoutingMode[] = ['agents', 'dispatchers', 'alone'];

/** Replays a scenario once per seed and summarizes all runs. */
export function replayScenario(
  scenario: ReplayScenario,
  routingMode: RoutingMode,
  seeds: number,
): ReplaySummary {
  const runs = Array.from({ length: seeds }, (_value, index) => {
    const seed = index + 1;
    const arrivals = drawArrivals(scenario.traffic, createSeededRandom(seed));
    return replayArrivals({ ...scenario.fleet, routingMode, seed }, arrivals);
  });
  // Requests that crash engines are owed no answer.
  const sound = runs.flat().filter(({ arrival }) => !arrival.isCrashing);
  const unwanted = sumUnwanted(runs.map(countUnwanted));
  return summarizeReplay(`${scenario.name} ${routingMode}`, sound, unwanted);
}

const percent = (share: number): string => (share * 100).toFixed(1);

const tableColumns: readonly (readonly [string, (summary: ReplaySummary) => string])[] = [
  ['pattern, way', ({ name }) => name],
  ['requests', ({ requests }) => String(requests)],
  ['on time %', ({ onTime }) => percent(onTime)],
  ['late %', ({ late }) => percent(late)],
  ['refused %', ({ refused }) => percent(refused)],
  ['worth', ({ worth }) => worth.toFixed(3)],
  ['net', ({ net }) => net.toFixed(3)],
  ['largest served %', ({ largestServed }) => percent(largestServed)],
  ['first p50 ms', ({ firstP50 }) => firstP50.toFixed(0)],
  ['p95', ({ firstP95 }) => firstP95.toFixed(0)],
  ['p99', ({ firstP99 }) => firstP99.toFixed(0)],
  ['longest refusal ms', ({ longestRefusal }) => longestRefusal.toFixed(0)],
  ['in rests', ({ unwanted }) => String(unwanted.duringRests)],
  ['most in one', ({ unwanted }) => String(unwanted.mostDuringRest)],
  ['after leaving', ({ unwanted }) => String(unwanted.afterDepartures)],
];

function table(summaries: readonly ReplaySummary[]): string {
  const rows = [
    tableColumns.map(([title]) => title),
    ...summaries.map((summary) => tableColumns.map(([, text]) => text(summary))),
  ];
  const widths = tableColumns.map((_column, index) =>
    Math.max(...rows.map((row) => row[index]?.length ?? 0)),
  );
  const line = (row: readonly string[]): string =>
    row.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join('  ');
  return `${rows.map(line).join('\n')}\n`;
}

/** Replays load patterns in virtual time; returns the exit code. */
export function runReplayTool(args: readonly string[]): number {
  const { values, positionals } = parseArgs({
    args: [...args],
    allowPositionals: true,
    options: { seeds: { type: 'string', default: '3' }, way: { type: 'string' } },
  });
  const seeds = Number(values.seeds);
  const chosen = routingModes.filter((way) => values.way === undefined || way === values.way);
  const scenarios = replayScenarios.filter(
    ({ name }) => positionals.length === 0 || positionals.includes(name),
  );
  if (!Number.isInteger(seeds) || seeds < 1 || chosen.length === 0 || scenarios.length === 0) {
    const names = replayScenarios.map(({ name, pattern }) => `  ${name}: ${pattern}`).join('\n');
    process.stderr.write(
      `usage: npm run replay -- [--seeds N] [--way ${routingModes.join('|')}] [PATTERN...]\n${names}\n`,
    );
    return 2;
  }
  const summaries = scenarios.flatMap((scenario) =>
    chosen.map((way) => replayScenario(scenario, way, seeds)),
  );
  process.stdout.write(table(summaries));
  return 0;
}
