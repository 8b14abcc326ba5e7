import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import type { BufferedAttemptOutcome } from '../src/attemptOutcome.js';
import { attemptBuffered } from '../src/bufferedAttempt.js';
import type { EntryContext } from '../src/entryContext.js';
import type { EntryRequest } from '../src/entryRequest.js';
import { startStream, type StreamAttemptOutcome } from '../src/streamAttempt.js';
import { createUpstreamConnections, type UpstreamConnections } from '../src/upstreamConnections.js';
import { createEntryContext, createSlot, ignoringObserver } from './entryContextFixture.js';
import { createPlayedRequest } from './entryRequestFixture.js';
import { startRawUpstream, type RawRequest } from './rawUpstream.js';

const ATTEMPT_TIMEOUT_MILLISECONDS = 5_000;
/** Longer than a real answer is held back behind a copy, in milliseconds. */
const SETTLE_MILLISECONDS = 60;

function message(status: string, id: string | null, extra = '', body = 'x'): string {
  const idLine = id === null ? '' : `x-request: ${id}\r\n`;
  return `HTTP/1.1 ${status}\r\n${idLine}${extra}content-length: ${body.length}\r\n\r\n${body}`;
}

const misdirected = (id: string | null): string => message('421 Misdirected Request', id);
const refused = (id: string | null): string =>
  message('503 Service Unavailable', id, 'x-not-run: 1\r\n');
const answered = (id: string): string => message('200 OK', id, 'x-signed: yes\r\n', id);

const refusals = { '421': misdirected, '503': refused } as const;
type RefusalStatus = keyof typeof refusals;

function idOf({ text }: RawRequest): string {
  return /x-request: (\S+)/u.exec(text)?.[1] ?? '';
}

interface Attempts {
  readonly entry: EntryContext;
  buffered(id: string): Promise<BufferedAttemptOutcome>;
  stream(id: string): Promise<StreamAttemptOutcome>;
}

function createAttempts(
  port: number,
  connections: UpstreamConnections,
  changes: Partial<EntryContext> = {},
): Attempts {
  const entry = createEntryContext(connections, '', changes);
  const requestOf = (id: string): EntryRequest =>
    createPlayedRequest({
      id,
      method: 'POST',
      headers: ['x-request', id],
      body: Buffer.from('body'),
      route: { pauseMilliseconds: 100, resumable: false },
    });
  return {
    entry,
    buffered: async (id) =>
      attemptBuffered(
        entry,
        requestOf(id),
        { id: 'upstream-1', startedAt: 1, address: `127.0.0.1:${port}` },
        ATTEMPT_TIMEOUT_MILLISECONDS,
      ),
    stream: async (id) =>
      startStream(entry, requestOf(id), createSlot('engine-1', port), null, ignoringObserver)
        .outcome,
  };
}

for (const status of ['421', '503'] as const satisfies readonly RefusalStatus[]) {
  const refusal = refusals[status];
  for (const kind of ['buffered', 'stream'] as const) {
    describe(`a copy of an earlier refusal with ${status} (${kind})`, { timeout: 30_000 }, () => {
      it('does not tell that a request which an upstream runs was not run', async () => {
        await using upstream = await startRawUpstream((request) => {
          if (request.index === 0) request.socket.write(refusal(idOf(request)));
          else request.socket.write(refusal('first'));
        });
        await using connections = createUpstreamConnections('127.0.0.1');
        const attempts = createAttempts(upstream.port, connections);
        assert.equal((await attempts[kind]('first')).kind, 'notRun');
        // The refusal of another request, on a connection of its own where none is kept.
        const second = await attempts[kind]('second');
        assert.equal(second.kind, kind === 'buffered' ? 'unknown' : 'broken');
      });

      it('promises nothing without a request id', async () => {
        await using upstream = await startRawUpstream(({ socket }) => {
          socket.write(refusal(null));
        });
        await using connections = createUpstreamConnections('127.0.0.1');
        const attempts = createAttempts(upstream.port, connections);
        assert.notEqual((await attempts[kind]('first')).kind, 'notRun');
      });

      it('is not the answer to the next request when it arrives in between or in parts', async () => {
        const copy = refusal('first');
        for (const cut of [1, 9, copy.indexOf('\r\n\r\n'), copy.length - 1, copy.length]) {
          await using upstream = await startRawUpstream((request) => {
            const id = idOf(request);
            if (id !== 'first') {
              if (request.connection === 0) request.socket.write(copy.slice(cut));
              else request.socket.write(answered(id));
              return;
            }
            request.socket.write(message('200 OK', id, 'x-signed: yes\r\n'));
            setTimeout(() => request.socket.write(copy.slice(0, cut)), SETTLE_MILLISECONDS / 3);
          });
          await using connections = createUpstreamConnections('127.0.0.1');
          const attempts = createAttempts(upstream.port, connections);
          assert.equal((await attempts.buffered('first')).kind, 'answered');
          await pause(SETTLE_MILLISECONDS);
          assert.notEqual((await attempts[kind]('second')).kind, 'notRun');
        }
      });
    });
  }
}

describe('the answer to another request', { timeout: 30_000 }, () => {
  for (const kind of ['buffered', 'stream'] as const) {
    it(`closes its connection, so that no late answer meets the next request (${kind})`, async () => {
      await using upstream = await startRawUpstream((request) => {
        const id = idOf(request);
        if (id === 'second') request.socket.write(refused('first'));
        else if (id === 'third' && request.connection === 0)
          request.socket.write(answered('second') + answered('third'));
        else request.socket.write(answered(id));
      });
      await using connections = createUpstreamConnections('127.0.0.1');
      const attempts = createAttempts(upstream.port, connections);
      assert.equal((await attempts.buffered('first')).kind, 'answered');
      await pause(SETTLE_MILLISECONDS);
      assert.notEqual((await attempts[kind]('second')).kind, 'notRun');
      await pause(SETTLE_MILLISECONDS);
      const third = await attempts.buffered('third');
      assert.equal(third.kind === 'answered' && third.body.toString(), 'third');
      const connectionsUsed = upstream.requests.map(({ connection }) => connection);
      assert.deepEqual(connectionsUsed, [0, 0, 1]);
    });
  }

  it('says nothing about limits and load', async () => {
    await using upstream = await startRawUpstream(({ socket }) => {
      socket.write(refused('other'));
    });
    await using connections = createUpstreamConnections('127.0.0.1');
    const recorded: string[] = [];
    const limits = {
      recordAnswer: () => recorded.push('limit'),
      take: () => 0,
    } as unknown as EntryContext['limits'];
    const attempts = createAttempts(upstream.port, connections, { limits });
    await attempts.buffered('first');
    await attempts.stream('first');
    assert.deepEqual(recorded, []);
  });
});

describe('a stream attempt that gets the answer to another request', { timeout: 30_000 }, () => {
  it('does not count as a connection that the engine lost', async () => {
    await using upstream = await startRawUpstream(({ socket }) => {
      socket.write(refused('other'));
    });
    await using connections = createUpstreamConnections('127.0.0.1');
    const outcome = await createAttempts(upstream.port, connections).stream('first');
    assert.deepEqual(outcome, {
      kind: 'broken',
      verdict: 'failed',
      reason: 'the answer belongs to another request',
    });
  });
});

describe('a refusal by another upstream at the address', { timeout: 30_000 }, () => {
  for (const kind of ['buffered', 'stream'] as const) {
    it(`that comes twice does not refuse the request sent there again (${kind})`, async () => {
      await using upstream = await startRawUpstream(({ socket, connection, index }) => {
        if (index === 0) socket.write(misdirected('first'));
        // The second attempt is meant for the upstream that is there, and runs.
        else if (connection === 0) socket.write(misdirected('first'));
        else socket.write(answered('first'));
      });
      await using connections = createUpstreamConnections('127.0.0.1');
      const attempts = createAttempts(upstream.port, connections);
      assert.equal((await attempts[kind]('first')).kind, 'notRun');
      await pause(SETTLE_MILLISECONDS);
      const again = await attempts.buffered('first');
      assert.equal(again.kind, 'answered');
      assert.equal(upstream.requests[1]?.connection, 1);
    });
  }
});
