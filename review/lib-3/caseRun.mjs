import { writeFile } from 'node:fs/promises';
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';
import { fileURLToPath } from 'node:url';

const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;

/** Longest run of a script, in milliseconds. */
const LONGEST_RUN_MILLISECONDS = 110_000;

/** Thrown by a case that could not be played. */
export class NotRun extends Error {}

/** Counts results by what happened. */
export function countOutcomes(results) {
  const counts = {};
  for (const { isServed, status, detail } of results) {
    const outcome = isServed ? 'served' : `${status || 'no answer'} ${detail}`.trim();
    counts[outcome] = (counts[outcome] ?? 0) + 1;
  }
  return counts;
}

/**
 * Plays a case and ends the process with its verdict: 0 held, 1 broken, 2 could not run.
 *
 * @param folderUrl - URL of the module of the case, in whose folder the record is written.
 * @param play - plays the case with a list of clean-up actions; returns whether the rule held.
 */
export async function runCase(folderUrl, play) {
  const hasTrouble = process.env.TROUBLE !== '0';
  const startedAt = performance.now();
  const lines = [];
  const cleanUps = [];
  const record = (text) => {
    lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}`);
  };
  record(hasTrouble ? 'with the disruption' : 'without the disruption');
  const finish = async (code, text) => {
    record(text);
    for (const cleanUp of cleanUps.reverse()) await cleanUp().catch(() => undefined);
    await writeFile(fileURLToPath(new URL('record.txt', folderUrl)), `${lines.join('\n')}\n`);
    process.stdout.write(`${text}\n`);
    process.exit(code);
  };
  // A fault of a stand-in is no verdict on the rule.
  process.once('uncaughtException', (error) => {
    void finish(NOT_RUN, `not run: ${error.stack}`);
  });
  setTimeout(() => {
    void finish(NOT_RUN, 'not run: it takes too long');
  }, LONGEST_RUN_MILLISECONDS).unref();
  try {
    const { held, text } = await play({
      hasTrouble,
      record,
      defer: (cleanUp) => cleanUps.push(cleanUp),
    });
    await finish(held ? HELD : BROKEN, `${held ? 'held' : 'broken'}: ${text}`);
  } catch (error) {
    const text = error instanceof NotRun ? error.message : String(error?.stack ?? error);
    await finish(NOT_RUN, `not run: ${text}`);
  }
}
