import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import type { PeerIdentity } from '@burdockrail/protocol/protocolAddress.js';
import { createPeerClient } from '../src/peerClient.js';
import { createPeerServer } from '../src/peerServer.js';
import type { PeerHandlers } from '../src/peerHandlers.js';

const identity: PeerIdentity = { name: 'a', incarnation: '1', dataCentre: 'd', roles: ['entry'] };
const loopback = { host: '127.0.0.1', port: 0 };
const callOptions = { timeoutMilliseconds: 2_000 };

const handlers: PeerHandlers = {
  calls: {
    'attempt.fence': async (request) => {
      if (request.attemptId === 'refused') throw new ResultError(ResultCode.ClaimFenced, 'no');
      return Promise.resolve({ kind: 'fenced' });
    },
    'configuration.current': async (_request, context) =>
      new Promise((resolve) => {
        context.signal.addEventListener('abort', () => {
          resolve(null);
        });
      }),
  },
  streams: {
    'configuration.watch': async (request, sink) => {
      for (let revision = 1; revision <= request.knownRevision; revision += 1) {
        const configuration = { revision, term: 1, digest: '', document: 'x'.repeat(10_000) };
        await sink.write({ kind: 'committed', configuration });
      }
    },
  },
  notifications: {},
};

describe('a peer connection', () => {
  it('is lost at once if its port cannot exist', async () => {
    await using client = createPeerClient({ identity });
    for (const port of [0, 99_999, -1, Number.NaN, Number.POSITIVE_INFINITY]) {
      const connection = client.connectionTo({ host: '127.0.0.1', port });
      await assert.rejects(
        connection.call('attempt.fence', { attemptId: 'a', agentIncarnation: 'i' }, callOptions),
        (error: unknown) =>
          error instanceof ResultError && error.code === ResultCode.ConnectionLost,
        String(port),
      );
    }
  });

  it('answers calls, propagates result codes and streams items in order', async () => {
    await using server = await createPeerServer(loopback, identity, handlers);
    await using client = createPeerClient({ identity });
    const connection = client.connectionTo(server.address);
    const fenceRequest = { attemptId: 'one', agentIncarnation: 'i' };
    assert.deepEqual(await connection.call('attempt.fence', fenceRequest, callOptions), {
      kind: 'fenced',
    });
    await assert.rejects(
      connection.call('attempt.fence', { ...fenceRequest, attemptId: 'refused' }, callOptions),
      (error: unknown) => error instanceof ResultError && error.code === ResultCode.ClaimFenced,
    );
    let last = 0;
    for await (const item of connection.stream('configuration.watch', { knownRevision: 500 }, {})) {
      assert.equal(item.kind, 'committed');
      assert.equal(item.configuration.revision, last + 1);
      last = item.configuration.revision;
    }
    assert.equal(last, 500);
  });

  // Such a connection kept a process alive that had stopped.
  it('opens no connection once its client is disposed of', async () => {
    await using server = await createPeerServer(loopback, identity, handlers);
    const client = createPeerClient({ identity });
    await client.connectionTo(server.address).peer;
    await client[Symbol.asyncDispose]();
    const connection = client.connectionTo(server.address);
    await assert.rejects(
      connection.call('attempt.fence', { attemptId: 'a', agentIncarnation: 'i' }, callOptions),
      (error: unknown) => error instanceof ResultError && error.code === ResultCode.ConnectionLost,
    );
    await connection.closed;
    assert.equal(connection.counters.sentBytes, 0);
  });

  it('ends a call at its timeout and leaves the connection usable', async () => {
    await using server = await createPeerServer(loopback, identity, handlers);
    await using client = createPeerClient({ identity });
    const connection = client.connectionTo(server.address);
    await assert.rejects(
      connection.call('configuration.current', {}, { timeoutMilliseconds: 20 }),
      (error: unknown) => error instanceof ResultError && error.code === ResultCode.CallTimedOut,
    );
    const fenceRequest = { attemptId: 'one', agentIncarnation: 'i' };
    assert.deepEqual(await connection.call('attempt.fence', fenceRequest, callOptions), {
      kind: 'fenced',
    });
  });

  it('fails pending calls when the server closes, and reconnects afterwards', async () => {
    const server = await createPeerServer(loopback, identity, handlers);
    await using client = createPeerClient({ identity });
    const pending = client
      .connectionTo(server.address)
      .call('configuration.current', {}, callOptions);
    await client.connectionTo(server.address).peer;
    await server[Symbol.asyncDispose]();
    await assert.rejects(pending, (error: unknown) => error instanceof ResultError);
    await client.connectionTo(server.address).closed;
    await using restarted = await createPeerServer(server.address, identity, handlers);
    assert.equal((await client.connectionTo(restarted.address).peer).name, 'a');
  });

  it('closes after its last call once it is retired, and gets no new one', async () => {
    await using server = await createPeerServer(loopback, identity, handlers);
    await using client = createPeerClient({ identity });
    const connection = client.connectionTo(server.address);
    let isClosed = false;
    void connection.closed.then(() => {
      isClosed = true;
    });
    const pending = connection.call('configuration.current', {}, { timeoutMilliseconds: 200 });
    connection.retire();
    const fenceRequest = { attemptId: 'one', agentIncarnation: 'i' };
    const next = client.connectionTo(server.address);
    assert.notEqual(next, connection);
    await next.call('attempt.fence', fenceRequest, callOptions);
    assert.equal(isClosed, false);
    await assert.rejects(
      pending,
      (error: unknown) => error instanceof ResultError && error.code === ResultCode.CallTimedOut,
    );
    await connection.closed;
    assert.equal(client.connectionTo(server.address), next);
  });

  it('gets no notification once it is destroyed', async () => {
    await using server = await createPeerServer(loopback, identity, handlers);
    await using client = createPeerClient({ identity });
    const connection = client.connectionTo(server.address);
    await connection.peer;
    connection.destroy();
    assert.notEqual(client.connectionTo(server.address), connection);
  });
});
