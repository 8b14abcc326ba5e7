import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { createPeerServer } from '@burdockrail/transport/peerServer.js';
import type { AttemptStart } from '@burdockrail/protocol/protocolAttempt.js';
import type { Announcement } from '@burdockrail/protocol/protocolMembership.js';
import type { ProcessStatus } from '@burdockrail/protocol/protocolConfiguration.js';
import {
  createFakeAgent,
  sendCompleteAnswer,
  startEntry,
  type AttemptHandler,
} from './entryFixture.js';

/** Longer than the time-out of a probe, in milliseconds. */
const PROBE_MILLISECONDS = 2_600;

/** Longer than the time until an unanswered probe is noticed, in milliseconds. */
const ANSWER_MILLISECONDS = 4_000;

const request = (stream: boolean): RequestInit => ({
  method: 'POST',
  headers: {
    'burdockrail-team': 'desk',
    'burdockrail-timeout-milliseconds': '10000',
  },
  body: JSON.stringify({ model: 'model', messages: [], stream }),
});

/** Starts an agent that answers probes late. */
async function startLateAgent(
  handle: AttemptHandler,
): Promise<AsyncDisposable & { readonly announcement: Announcement }> {
  const usual = await createFakeAgent('agent', handle);
  const identity = {
    name: 'agent',
    incarnation: '1',
    dataCentre: 'one',
    roles: ['agent'] as const,
  };
  const server = await createPeerServer({ host: '127.0.0.1', port: 0 }, identity, {
    calls: {
      'process.status': async () => {
        await delay(PROBE_MILLISECONDS);
        return {} as ProcessStatus;
      },
    },
    streams: {
      'attempt.run': async (attempt: AttemptStart, sink) =>
        handle(attempt, async (item) => sink.write(item)),
    },
    notifications: {},
  });
  return {
    announcement: { ...usual.announcement, address: server.address },
    [Symbol.asyncDispose]: async () => {
      await usual[Symbol.asyncDispose]();
      await server[Symbol.asyncDispose]();
    },
  };
}

describe('a request whose agent answers a probe late', { timeout: 30_000 }, () => {
  it('gets the whole answer of its upstream', async () => {
    await using agent = await startLateAgent(async ({ attemptId }, send) => {
      await delay(ANSWER_MILLISECONDS);
      await sendCompleteAnswer(attemptId, send, '{"text":"late"}');
    });
    await using entry = await startEntry([agent.announcement]);
    const response = await fetch(`${entry.url}/v1/chat/completions`, request(false));
    assert.equal(response.status, 200);
    assert.deepEqual(await response.json(), { text: 'late' });
  });

  it('gets the whole stream of its upstream', async () => {
    await using agent = await startLateAgent(async ({ attemptId }, send) => {
      const headers = { 'content-type': 'text/event-stream' };
      await send({ kind: 'head', attemptId, status: 200, headers });
      await send({ kind: 'data', attemptId, bytes: Buffer.from('data: 1\n\n') });
      await delay(ANSWER_MILLISECONDS);
      await send({ kind: 'data', attemptId, bytes: Buffer.from('data: [DONE]\n\n') });
      await send({ kind: 'end', attemptId });
    });
    await using entry = await startEntry([agent.announcement]);
    const response = await fetch(`${entry.url}/v1/chat/completions`, request(true));
    assert.equal(await response.text(), 'data: 1\n\ndata: [DONE]\n\n');
  });
});
