import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { monotonicClock } from '@burdockrail/common/timeSource.js';
import type { SlotReply } from '@burdockrail/protocol/protocolDirectory.js';
import { createSlotClaimClient } from '../src/slotClaimClient.js';
import type { EntryContext } from '../src/entryContext.js';
import type { EntryRequest } from '../src/entryRequest.js';

const agent = { host: '127.0.0.1', port: 7_001 };
const terms = { mayWait: false, mostTaken: null, mostReadingMilliseconds: null };

const granted: SlotReply = {
  kind: 'granted',
  place: 7,
  engine: 'e',
  version: 1,
  taken: 1,
  waiting: 0,
  places: 4,
  readingMilliseconds: 0,
  freeInMilliseconds: 0,
  requestsPerSecond: null,
};

/** Creates a client whose connection answers as the test decides. */
function createClient(call: () => Promise<SlotReply>) {
  const messages: string[] = [];
  const client = {
    connectionTo: () => ({ call, retire: () => messages.push('retired') }),
    notify: (_agent: unknown, kind: string, message: object) =>
      messages.push(`${kind} ${JSON.stringify(message)}`),
  };
  const context = {
    client,
    time: monotonicClock,
    clusterView: { table: null },
    log: { write: () => undefined },
  };
  const claimClient = createSlotClaimClient(context as unknown as EntryContext);
  const request = {
    id: 'r',
    caller: { model: 'm', promptTokens: 1, answerTokens: 1, sharedParts: [], answerEstimate: null },
    admitted: { service: 's', team: null, route: { priority: 0 }, deadline: 1e9 },
    signal: new AbortController().signal,
  };
  const claim = async () =>
    claimClient.claim(request as unknown as EntryRequest, agent, 300, terms);
  return { claimClient, claim, messages };
}

describe('the slot claim client', () => {
  it('releases a slot that was granted after the search had moved on', async () => {
    let answer: (reply: SlotReply) => void = () => undefined;
    const lateAnswer = new Promise<SlotReply>((resolve) => {
      answer = resolve;
    });
    const { claim, messages, claimClient } = createClient(async () => lateAnswer);
    assert.equal(await claim(), null);
    assert.deepEqual(messages, []);
    answer(granted);
    await nextTurn();
    assert.deepEqual(messages, ['place.release {"place":7}']);
    assert.equal(claimClient.isSilent(agent, monotonicClock.now()), false);
  });

  it('withdraws the claim and backs off when the agent does not answer', async () => {
    const { claim, messages, claimClient } = createClient(async () =>
      Promise.reject(new Error('timed out')),
    );
    assert.equal(await claim(), null);
    assert.deepEqual(messages, ['retired', 'place.withdraw {"requestId":"r"}']);
    assert.equal(claimClient.isSilent(agent, monotonicClock.now()), true);
    assert.equal(claimClient.isSilent(agent, monotonicClock.now() + 1_100), false);
  });

  it('keeps a slot that was granted in time', async () => {
    const { claim, messages } = createClient(async () => Promise.resolve(granted));
    assert.equal(await claim(), granted);
    assert.deepEqual(messages, []);
  });
});
