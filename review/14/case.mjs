import { setTimeout as pause } from 'node:timers/promises';
import { countOutcomes, runCase } from '../lib-3/caseRun.mjs';
import { sendAttempt, sendSteadily } from '../lib-3/requester.mjs';
import { startServing } from '../lib-3/setup.mjs';

const ENGINES = 3;
const KINDS = ['stream', 'plain'];

/** Attempts of one requester that states a prompt which no runner can hold. */
const OVERSIZED_ATTEMPTS = 3;

/** Number of prompt tokens that it states, in digits; more than a double-precision number times 1000 holds. */
const OVERSIZED_TOKENS = `1${'0'.repeat(306)}`;
const USUAL_TOKENS = '600';

const BEFORE_SECONDS = 3;
const AFTER_SECONDS = 40;
const PER_SECOND = 5;

/** A kind of request is starved if it is served less than this share as often as all requests. */
const STARVED_SHARE = 0.25;

const servedShare = (results) =>
  results.filter(({ isServed }) => isServed).length / Math.max(1, results.length);

await runCase(import.meta.url, async ({ hasTrouble, record, defer }) => {
  const rejected = [];
  const { deployment } = await startServing({
    defer,
    record,
    engines: ENGINES,
    runners: 2,
    kinds: KINDS,
    onArrival: (arrival) => {
      if (arrival.status !== 200)
        rejected.push(`${arrival.requestId} at ${arrival.runner} (${arrival.status})`);
    },
  });
  const { fronts } = deployment;
  const before = await sendSteadily({
    fronts,
    kinds: KINDS,
    perSecond: PER_SECOND,
    seconds: BEFORE_SECONDS,
  });
  record(`before: ${JSON.stringify(countOutcomes(before))}`);

  for (let index = 0; index < OVERSIZED_ATTEMPTS; index += 1) {
    const promptTokens = hasTrouble ? OVERSIZED_TOKENS : USUAL_TOKENS;
    const { requestId, status, detail } = await sendAttempt(
      fronts[index % fronts.length],
      'stream',
      { promptTokens },
    );
    record(`${requestId} with ${promptTokens.length} digits of prompt tokens: ${status} ${detail}`);
    await pause(500);
  }
  record(`rejected by runners as too large: ${rejected.join(', ') || 'none'}`);

  await pause(3000);
  const after = await sendSteadily({
    fronts,
    kinds: KINDS,
    perSecond: PER_SECOND,
    seconds: AFTER_SECONDS,
    onResult: ({ requestId, kind, status, detail, isServed }) =>
      record(`${requestId} ${kind}: ${isServed ? 'served' : `${status} ${detail}`}`),
  });
  const ended = deployment.names().filter((name) => !deployment.isRunning(name));
  record(`processes that have ended: ${ended.join(', ') || 'none'}`);
  for (const kind of KINDS)
    record(
      `after, ${kind}: ${JSON.stringify(countOutcomes(after.filter((r) => r.kind === kind)))}`,
    );
  for (const name of deployment.names().filter((n) => n.startsWith('side')))
    record(
      `${name}: ${
        deployment
          .log(name)
          .split('\n')
          .filter((l) => l.includes('placeRefused'))
          .at(-1) ?? 'refused no claim'
      }`,
    );

  const all = [...before, ...after];
  const streams = servedShare(all.filter(({ kind }) => kind === 'stream'));
  const limit = STARVED_SHARE * servedShare(all);
  return {
    held: streams >= limit,
    text: `streams served ${streams.toFixed(3)}, limit ${limit.toFixed(3)}; of the last ${
      AFTER_SECONDS
    } s ${servedShare(after.filter(({ kind }) => kind === 'stream')).toFixed(3)}`,
  };
});
