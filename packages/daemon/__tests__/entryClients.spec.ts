import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { describe, it } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import {
  createFakeAgent,
  createFakeGroups,
  sendCompleteAnswer,
  startEntry,
} from './entryFixture.js';

const HOST = '127.0.0.1';

/** Memory for all callers in these tests, in bytes, and their bodies. */
const CLIENT_MEMORY_BYTES = 1_500_000;
const LARGE_BODY_BYTES = 1_400_000;
const SENT_BYTES = 1_200_000;
const SMALL_BODY_BYTES = 500_000;

/** Time for bytes to arrive at an entry of this process, in milliseconds. */
const ARRIVAL_MILLISECONDS = 200;

const ANSWER_MILLISECONDS = 5_000;
const REQUESTS_AHEAD = 2_000;

async function openClient(url: string): Promise<{ socket: Socket; received: () => string }> {
  const socket = connect({ host: HOST, port: Number(new URL(url).port) });
  let received = '';
  socket.on('error', () => undefined);
  socket.on('data', (bytes) => (received += bytes.toString('latin1')));
  await once(socket, 'connect');
  return { socket, received: () => received };
}

async function waitUntil(condition: () => boolean): Promise<void> {
  const deadline = performance.now() + ANSWER_MILLISECONDS;
  while (!condition()) {
    assert.ok(performance.now() < deadline, 'the condition holds in time');
    await pause(10);
  }
}

const startServed = async (entrySettings: object) => {
  const agent = await createFakeAgent('agent', async (attempt, send) =>
    sendCompleteAnswer(attempt.attemptId, send, '{"text":"ahoy"}'),
  );
  const entry = await startEntry([agent.announcement], createFakeGroups(), entrySettings);
  return {
    entry,
    [Symbol.asyncDispose]: async () => {
      await entry[Symbol.asyncDispose]();
      await agent[Symbol.asyncDispose]();
    },
  };
};

// Each guards against callers that make an entry hold more than its memory, or all of its sockets.
describe('an entry whose callers do not behave', { timeout: 30_000 }, () => {
  it('refuses the largest body when others need its memory', async () => {
    await using served = await startServed({ clientMemoryBytes: CLIENT_MEMORY_BYTES });
    const { url } = served.entry;
    const large = await openClient(url);
    large.socket.write(
      `POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nburdockrail-team: desk\r\ncontent-length: ${LARGE_BODY_BYTES}\r\n\r\n`,
    );
    large.socket.write(' '.repeat(SENT_BYTES));
    await pause(ARRIVAL_MILLISECONDS);
    const answer = await fetch(`${url}/v1/chat/completions`, {
      method: 'POST',
      headers: { 'burdockrail-team': 'desk' },
      body: JSON.stringify({ model: 'model', messages: [], note: 'x'.repeat(SMALL_BODY_BYTES) }),
    });
    assert.equal(answer.status, 200);
    await waitUntil(() => large.received().includes('\r\n\r\n'));
    assert.match(large.received(), /^HTTP\/1\.1 503 /u);
    assert.match(large.received(), /burdockrail-run: not-run/u);
    large.socket.destroy();
  });

  it('closes the oldest connection without a request when there are too many', async () => {
    await using served = await startServed({ maximumConnections: 3 });
    const silent: Socket[] = [];
    for (let count = 0; count < 4; count += 1)
      silent.push((await openClient(served.entry.url)).socket);
    await waitUntil(() => silent[0]?.destroyed === true);
    for (const socket of silent) socket.destroy();
  });

  it('answers all that a caller sends ahead', async () => {
    await using served = await startServed({});
    const { socket, received } = await openClient(served.entry.url);
    socket.write('GET /livez HTTP/1.1\r\nhost: a\r\n\r\n'.repeat(REQUESTS_AHEAD));
    await waitUntil(() => received().split('HTTP/1.1 200').length - 1 === REQUESTS_AHEAD);
    socket.destroy();
  });
});
