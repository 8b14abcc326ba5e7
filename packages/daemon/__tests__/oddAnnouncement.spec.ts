import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { Announcement } from '@burdockrail/protocol/protocolMembership.js';
import { createFakeAgent, sendCompleteAnswer, startEntry } from './entryFixture.js';

const REQUESTS = 12;

const oddities: readonly (readonly [string, Readonly<Record<string, unknown>>])[] = [
  ['port over 65535', { address: { host: '127.0.0.1', port: 99_999 } }],
  ['port 0', { address: { host: '127.0.0.1', port: 0 } }],
  ['address that is no address', { address: null }],
  ['load that is nothing', { load: null }],
  [
    'infinite load',
    {
      load: {
        running: Number.POSITIVE_INFINITY,
        waiting: 0,
        capacity: Number.POSITIVE_INFINITY,
        cacheUse: 0,
      },
    },
  ],
  ['load that is text', { load: { running: 'x', waiting: 'x', capacity: 'x', cacheUse: 'x' } }],
  ['prefixes that are no list', { prefixes: 7 }],
  ['version that is nothing', { serving: null }],
  ['agent that is no text', { agent: { name: 'x' } }],
  ['sequence that is infinite', { sequence: Number.POSITIVE_INFINITY }],
];

describe('an odd announcement of another writer', () => {
  for (const [name, changes] of oddities) {
    it(`leaves the other upstreams of its service in use: ${name}`, async () => {
      await using agent = await createFakeAgent('sound', async (attempt, send) =>
        sendCompleteAnswer(attempt.attemptId, send, '{"text":"ahoy"}'),
      );
      const odd = { ...agent.announcement, agent: 'odd', ...changes } as unknown as Announcement;
      await using entry = await startEntry([agent.announcement]);
      await entry.announce(odd).catch(() => undefined);
      await entry.announce({ ...odd, sequence: 2 }).catch(() => undefined);
      const statuses: number[] = [];
      for (let request = 0; request < REQUESTS; request += 1) {
        const answer = await fetch(`${entry.url}/v1/chat/completions`, {
          method: 'POST',
          headers: { 'burdockrail-team': 'desk' },
          body: JSON.stringify({ model: 'model', messages: [] }),
        });
        await answer.text();
        statuses.push(answer.status);
      }
      assert.deepEqual(statuses, Array<number>(REQUESTS).fill(200));
    });
  }
});
