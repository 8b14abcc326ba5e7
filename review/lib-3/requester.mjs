import { randomBytes } from 'node:crypto';
import { performance } from 'node:perf_hooks';
import { setTimeout as pause } from 'node:timers/promises';
import { send } from './http.mjs';
import { KEY, MODEL, PLAIN, STREAM } from './operator.mjs';

/** Creates the id of a requester attempt. */
export function createAttemptId() {
  return randomBytes(8).toString('hex');
}

/**
 * Sends one attempt of a kind of request to an entry.
 *
 * @param options.promptTokens - number of tokens of the prompt, in digits.
 * @param options.repeatsHost - true to send the line with the host twice.
 */
export async function sendAttempt(
  address,
  kind,
  { promptTokens = '600', repeatsHost = false } = {},
) {
  const requestId = createAttemptId();
  const route = kind === 'stream' ? STREAM : PLAIN;
  const sentAt = performance.now();
  const deadline = kind === 'stream' ? 6033 : 1537;
  const { status, headers, body, isComplete, error } = await send({
    address,
    method: 'POST',
    path: route.path,
    headers: {
      Host: repeatsHost ? [route.host, route.host] : route.host,
      'Attempt-Id': requestId,
      'Deadline-Ms': String(deadline),
      Authorization: `Token ${KEY}`,
      ...(kind === 'stream'
        ? { Model: MODEL, 'Token-Count': `${promptTokens},80`, 'Prompt-Prefix': `${requestId}:600` }
        : {}),
    },
    body: kind === 'stream' ? 'draft a plan' : 'charge the deposit',
    timeout: deadline,
  });
  const isServed = status === 200 && isComplete && headers['server-seal'] !== undefined;
  return {
    requestId,
    kind,
    sentAt,
    endedAt: performance.now(),
    status,
    seal: headers['server-seal'],
    body,
    detail: isServed ? '' : (error ?? body.slice(0, 160)),
    isServed,
  };
}

/**
 * Sends attempts of some kinds at a steady rate to the entries in turn; resolves with all results.
 *
 * @param options.perSecond - attempts of each kind a second.
 */
export async function sendSteadily({ fronts, kinds, perSecond, seconds, onResult }) {
  const results = [];
  const startedAt = performance.now();
  for (let index = 0; index < perSecond * seconds; index += 1) {
    await pause(Math.max(0, startedAt + (index * 1000) / perSecond - performance.now()));
    for (const kind of kinds)
      results.push(
        sendAttempt(fronts[index % fronts.length], kind).then((result) => {
          onResult?.(result);
          return result;
        }),
      );
  }
  return Promise.all(results);
}

/** Waits until every entry serves every kind; false if that takes too long. */
export async function waitUntilServed({ fronts, kinds, seconds = 30 }) {
  const endsAt = performance.now() + seconds * 1000;
  const pending = new Set(fronts.flatMap((front) => kinds.map((kind) => `${front} ${kind}`)));
  while (pending.size > 0 && performance.now() < endsAt) {
    for (const item of [...pending]) {
      const [front, kind] = item.split(' ');
      if ((await sendAttempt(front, kind)).isServed) pending.delete(item);
    }
    await pause(200);
  }
  return pending.size === 0;
}
