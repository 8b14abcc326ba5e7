import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { processTime } from '@burdockrail/common/timeSource.js';
import type { PlaceReply } from '@burdockrail/protocol/protocolDirectory.js';
import { createSlotClaimClient } from '../src/slotClaimClient.js';
import type { EntryContext } from '../src/entryContext.js';
import type { EntryRequest } from '../src/entryRequest.js';

const agent = { host: '127.0.0.1', port: 7_001 };
const terms = { mayWait: false, mostTaken: null, mostReadingMilliseconds: null };

const granted: PlaceReply = {
  kind: 'granted',
  place: 7,
  engine: 'e',
  version: 1,
  taken: 1,
  waiting: 0,
  places: 4,
  readingMilliseconds: 0,
  freeInMilliseconds: 0,
};

/** Claims over a connection whose answers the test decides. */
function createClaims(call: () => Promise<PlaceReply>) {
  const told: string[] = [];
  const client = {
    to: () => ({ call, destroy: () => told.push('destroyed') }),
    notify: (_agent: unknown, kind: string, message: object) =>
      told.push(`${kind} ${JSON.stringify(message)}`),
  };
  const context = {
    client,
    time: processTime,
    clusterView: { table: null },
    log: { write: () => undefined },
  };
  const claims = createSlotClaimClient(context as unknown as EntryContext);
  const request = {
    id: 'r',
    caller: { model: 'm', promptTokens: 1, answerTokens: 1, answerEstimate: null },
    admitted: { service: 's', team: null, route: { priority: 0 }, deadline: 1e9 },
    signal: new AbortController().signal,
  };
  const ask = async () => claims.claim(request as unknown as EntryRequest, agent, 300, terms);
  return { claims, ask, told };
}

describe('the claims of an entry', () => {
  it('give back a place that was granted after the search had gone on', async () => {
    let answer: (reply: PlaceReply) => void = () => undefined;
    const late = new Promise<PlaceReply>((resolve) => {
      answer = resolve;
    });
    const { ask, told, claims } = createClaims(async () => late);
    assert.equal(await ask(), null);
    assert.deepEqual(told, []);
    answer(granted);
    await nextTurn();
    assert.deepEqual(told, ['place.release {"place":7}']);
    assert.equal(claims.isSilent(agent, processTime.now()), false);
  });

  it('withdraw what may have been granted when no answer came, and pass the agent over', async () => {
    const { ask, told, claims } = createClaims(async () => Promise.reject(new Error('timed out')));
    assert.equal(await ask(), null);
    assert.deepEqual(told, ['destroyed', 'place.withdraw {"requestId":"r"}']);
    assert.equal(claims.isSilent(agent, processTime.now()), true);
    assert.equal(claims.isSilent(agent, processTime.now() + 1_100), false);
  });

  it('keep a place that was granted in time', async () => {
    const { ask, told } = createClaims(async () => Promise.resolve(granted));
    assert.equal(await ask(), granted);
    assert.deepEqual(told, []);
  });
});
