// A model runner in trouble sends an event stream without end and without an event, one byte a chunk.
// Requests that are still unanswered at their route's timeout must have an answer half a second later.
import { Buffer } from 'node:buffer';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { answerHead, playEndless } from '../lib/endless.mjs';
import { runCase } from '../lib/record.mjs';

/** One answer in this time has no end; all of them come from one runner. */
const PERIOD_MILLISECONDS = 15_000;
const TROUBLED_RUNNER = 1;
/** `timeout_ms` of the non-idempotent route, and the time after it that the rule allows. */
const TIMEOUT_MILLISECONDS = 800;
const ALLOWED_MILLISECONDS = 500;
/** Fewest such requests from which CONFIG speaks. */
const FEWEST = 8;

await runCase(dirname(fileURLToPath(import.meta.url)), async (record, isTroubled, disposals) => {
  const { answers } = await playEndless(
    { record, isTroubled, disposals },
    {
      seconds: 60,
      streamsPerSecond: 30,
      oncePerSecond: 20,
      endless: (count, elapsed, runner) =>
        runner === TROUBLED_RUNNER && count <= elapsed / PERIOD_MILLISECONDS,
      head: (requestId) =>
        answerHead('200 OK', requestId, [
          'Content-Type: text/event-stream',
          'Transfer-Encoding: chunked',
        ]),
      block: Buffer.from('1\r\nx\r\n'.repeat(10_000)),
    },
  );
  const duration = ({ status, sentAt, endedAt }) =>
    status === 0 ? Number.POSITIVE_INFINITY : endedAt - sentAt;
  const once = answers.filter(({ kind }) => kind === 'once');
  const open = once.filter((answer) => duration(answer) > TIMEOUT_MILLISECONDS);
  const late = open.filter(
    (answer) => duration(answer) > TIMEOUT_MILLISECONDS + ALLOWED_MILLISECONDS,
  );
  record.add(
    `summary of once: ${once.length} requests, ${open.length} unanswered at their timeout, ${late.length} half a second later`,
  );
  const isBroken = late.length >= FEWEST && late.length > open.length / 2;
  return isBroken
    ? late.map(
        ({ id, front, status }) =>
          `${id}: front-${front + 1} gave ${status === 0 ? 'no answer' : 'a late answer'}`,
      )
    : [];
});
