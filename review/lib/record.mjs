// Writes what was sent, answered and run into `record.txt` of a case, and ends the case.
import { writeFileSync } from 'node:fs';
import { performance } from 'node:perf_hooks';
import { join } from 'node:path';

export function createRecord(folder) {
  const startedAt = performance.now();
  const lines = [];
  return {
    add: (text) => lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}`),
    write: () => writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`),
  };
}

/**
 * Runs a case. `play(record, isTroubled, disposals)` returns a list of breaks of the rule, each a
 * line of text. Exits with 1 if there are any, 0 if the rule held, and 2 if the case couldn't run.
 */
export async function runCase(folder, play) {
  const record = createRecord(folder);
  const isTroubled = process.env.TROUBLE !== '0';
  const disposals = [];
  let isEnding = false;
  const end = async (code) => {
    if (isEnding) return;
    isEnding = true;
    for (const dispose of disposals.reverse()) await dispose();
    const verdicts = ['the rule held', 'the rule was broken', 'the case could not run'];
    record.add(verdicts[code]);
    record.write();
    console.log(verdicts[code]);
    process.exit(code);
  };
  const fail = (error) => {
    const text = error instanceof Error ? error.stack : String(error);
    record.add(`the case could not run: ${text}`);
    return end(2);
  };
  for (const event of ['uncaughtException', 'unhandledRejection', 'SIGTERM', 'SIGINT'])
    process.once(event, fail);
  try {
    record.add(isTroubled ? 'with the disruption' : 'without the disruption');
    const breaks = await play(record, isTroubled, disposals);
    for (const line of breaks) record.add(`BROKEN ${line}`);
    await end(breaks.length > 0 ? 1 : 0);
  } catch (error) {
    await fail(error);
  }
}
