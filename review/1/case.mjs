// A model runner in trouble answers a request with an error whose body has no end: one byte a chunk.
// No process may end by itself, and requests at sound runners must be answered.
import { Buffer } from 'node:buffer';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { answerHead, playEndless } from '../lib/endless.mjs';
import { runCase } from '../lib/record.mjs';

/** One answer in this time has no end; all of them come from one runner. */
const PERIOD_MILLISECONDS = 8000;
const TROUBLED_RUNNER = 1;
/** Requests that LOST allows to be closed without an answer. */
const ALLOWED = 3;

await runCase(dirname(fileURLToPath(import.meta.url)), async (record, isTroubled, disposals) => {
  const { lost } = await playEndless(
    { record, isTroubled, disposals },
    {
      seconds: 60,
      streamsPerSecond: 60,
      oncePerSecond: 10,
      endless: (count, elapsed, runner) =>
        runner === TROUBLED_RUNNER && count <= elapsed / PERIOD_MILLISECONDS,
      head: (requestId) =>
        answerHead('500 Internal Server Error', requestId, [
          'Content-Type: text/plain',
          'Transfer-Encoding: chunked',
        ]),
      block: Buffer.from('1\r\nx\r\n'.repeat(10_000)),
    },
  );
  return lost.length > ALLOWED ? lost : [];
});
