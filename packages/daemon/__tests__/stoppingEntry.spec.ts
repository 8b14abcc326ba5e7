import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { describe, it } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { createFakeAgent, startEntry, type AttemptHandler } from './entryFixture.js';

/** Time for bytes to arrive at a server of this process, in milliseconds. */
const ARRIVAL_MILLISECONDS = 200;

const body = JSON.stringify({ model: 'model', messages: [] });
const targets = { repeatable: '/v1/chat/completions', claimed: '/services/ledger/deposit' };
const services = { repeatable: 'model', claimed: 'ledger' };
type Kind = keyof typeof targets;
const kinds = Object.keys(targets) as readonly Kind[];

const requestText = (kind: Kind): string =>
  `POST ${targets[kind]} HTTP/1.1\r\nhost: entry\r\nburdockrail-team: desk\r\ncontent-length: ${body.length}\r\n\r\n${body}`;

/** Starts an entry with one agent and connects a caller. */
async function startStopping(kind: Kind, handleAttempt: AttemptHandler) {
  let attempts = 0;
  let onAttempt: () => void = () => undefined;
  const attempted = new Promise<void>((resolve) => {
    onAttempt = resolve;
  });
  const agent = await createFakeAgent(
    'agent',
    async (attempt, send) => {
      attempts += 1;
      onAttempt();
      await handleAttempt(attempt, send);
    },
    { service: services[kind] },
  );
  const entry = await startEntry([agent.announcement]);
  const { hostname, port } = new URL(entry.url);
  const socket: Socket = connect({ host: hostname, port: Number(port) });
  let received = '';
  socket.on('error', () => undefined);
  socket.on('data', (bytes) => {
    received += bytes.toString();
  });
  const closed = once(socket, 'close');
  return {
    entry,
    attempted,
    attempts: () => attempts,
    send: (text: string) => socket.write(text),
    received: () => received,
    closed,
    [Symbol.asyncDispose]: async () => {
      socket.destroy();
      await entry[Symbol.asyncDispose]();
      await agent[Symbol.asyncDispose]();
    },
  };
}

const neverAnswer: AttemptHandler = async () => new Promise(() => undefined);
const resultHeader = (code: ResultCode): RegExp =>
  new RegExp(`burdockrail-result: ${code}\\r\\n`, 'u');

describe('a request at an entry whose drain ends', () => {
  for (const kind of kinds) {
    it(`is answered without a promise if it may have run (${kind})`, async () => {
      await using stopping = await startStopping(kind, neverAnswer);
      stopping.send(requestText(kind));
      await stopping.attempted;
      void stopping.entry.drain();
      await stopping.entry[Symbol.asyncDispose]();
      await stopping.closed;
      assert.match(stopping.received(), /^HTTP\/1\.1 504 /u);
      assert.match(stopping.received(), /burdockrail-run: unknown\r\n/u);
    });

    it(`is refused as not run if its body is still being read (${kind})`, async () => {
      await using stopping = await startStopping(kind, neverAnswer);
      stopping.send(requestText(kind).slice(0, -1));
      await pause(ARRIVAL_MILLISECONDS);
      void stopping.entry.drain();
      await stopping.entry[Symbol.asyncDispose]();
      await stopping.closed;
      assert.match(stopping.received(), /^HTTP\/1\.1 503 /u);
      assert.match(stopping.received(), resultHeader(ResultCode.Draining));
      assert.match(stopping.received(), /burdockrail-run: not-run\r\n/u);
    });

    it(`is not passed on if its body arrives while the entry drains (${kind})`, async () => {
      await using stopping = await startStopping(kind, neverAnswer);
      stopping.send(requestText(kind).slice(0, -1));
      await pause(ARRIVAL_MILLISECONDS);
      void stopping.entry.drain();
      stopping.send(requestText(kind).slice(-1));
      await pause(ARRIVAL_MILLISECONDS);
      assert.equal(stopping.attempts(), 0);
      assert.match(stopping.received(), resultHeader(ResultCode.Draining));
    });
  }

  it('is cut behind an error event if it is a stream that has begun', async () => {
    await using stopping = await startStopping('repeatable', async ({ attemptId }, send) => {
      const headers = { 'content-type': 'text/event-stream' };
      await send({ kind: 'head', attemptId, status: 200, headers });
      await send({ kind: 'data', attemptId, bytes: Buffer.from('data: 1\n\n') });
      await new Promise(() => undefined);
    });
    stopping.send(requestText('repeatable'));
    await stopping.attempted;
    await pause(ARRIVAL_MILLISECONDS);
    void stopping.entry.drain();
    await stopping.entry[Symbol.asyncDispose]();
    await stopping.closed;
    assert.match(stopping.received(), /data: 1\n\n[^]*event: error\n/u);
    assert.doesNotMatch(stopping.received(), /\r\n0\r\n\r\n$/u);
  });
});
