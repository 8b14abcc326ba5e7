import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer as createHttpServer } from 'node:http';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { describe, it } from 'node:test';
import { createUpstreamConnections, type UpstreamConnections } from '../src/upstreamConnections.js';

/** How the server ends the connection after it has sent its bytes. */
type Ending = (socket: Socket) => void;

const endings: Readonly<Record<'close' | 'reset' | 'resetAtOnce' | 'resetAfterTurn', Ending>> = {
  resetAtOnce: (socket) => {
    socket.write('', () => socket.resetAndDestroy());
  },
  resetAfterTurn: (socket) => {
    setImmediate(() => socket.resetAndDestroy());
  },
  close: (socket) => socket.end(),
  reset: (socket) => {
    setTimeout(() => socket.resetAndDestroy(), 30);
  },
};

async function outcomeOf(answer: string, ending: Ending): Promise<string> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write(answer);
      ending(socket);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  await using connections = createUpstreamConnections('127.0.0.1');
  try {
    return await new Promise((resolve) => {
      connections.run(
        `127.0.0.1:${port}`,
        2,
        { method: 'GET', path: '/', headers: [], body: null },
        {
          mayStart: () => true,
          sent: () => undefined,
          head: () => undefined,
          data: () => undefined,
          end: () => {
            resolve('end');
          },
          failed: () => {
            resolve('failed');
          },
        },
      );
    });
  } finally {
    server.close();
  }
}

/** Callbacks that an observer received before its attempt failed. */
async function callsUntilFailure(
  connections: UpstreamConnections,
  port: number,
  { mayStart = true, signal }: { readonly mayStart?: boolean; readonly signal?: AbortSignal } = {},
): Promise<readonly string[]> {
  return new Promise((resolve) => {
    const calls: string[] = [];
    connections.run(
      `127.0.0.1:${port}`,
      2,
      { method: 'GET', path: '/', headers: [], body: null },
      {
        mayStart: () => mayStart,
        sent: () => calls.push('sent'),
        head: () => calls.push('head'),
        data: () => calls.push('data'),
        end: () => calls.push('end'),
        failed: () => {
          resolve(calls);
        },
      },
      signal,
    );
  });
}

describe('an upstream that refuses connections', () => {
  it('fails the attempt before any byte is sent, without other callbacks', async () => {
    await using connections = createUpstreamConnections('127.0.0.1');
    const server = createServer();
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    server.close();
    await once(server, 'close');
    const calls = await callsUntilFailure(connections, port);
    assert.deepEqual(calls, []);
  });
});

describe('a request that may no longer start once its connection is open', () => {
  it('is aborted before any byte is sent', async () => {
    await using connections = createUpstreamConnections('127.0.0.1');
    let requests = 0;
    const server = createHttpServer((_request, response) => {
      requests += 1;
      response.end();
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    const calls = await callsUntilFailure(connections, port, { mayStart: false });
    server.close();
    assert.deepEqual(calls, []);
    assert.equal(requests, 0);
  });
});

describe('a request whose caller disconnects', () => {
  it('is aborted, whether it has been sent or not', async () => {
    await using connections = createUpstreamConnections('127.0.0.1');
    const cancellation = new AbortController();
    // Sends no answer, and signals that the request has arrived.
    const server = createHttpServer(() => {
      cancellation.abort();
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    const { signal } = cancellation;
    assert.deepEqual(await callsUntilFailure(connections, port, { signal }), ['sent']);
    assert.deepEqual(await callsUntilFailure(connections, port, { signal }), []);
    server.close();
    server.closeAllConnections();
  });
});

describe('an answer of an upstream', () => {
  const withoutLength = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart';

  it('without a length is complete after an orderly close', async () => {
    assert.equal(await outcomeOf(withoutLength, endings.close), 'end');
  });

  it('without a length is incomplete when its connection is reset', async () => {
    assert.equal(await outcomeOf(withoutLength, endings.reset), 'failed');
    assert.equal(await outcomeOf(withoutLength, endings.resetAtOnce), 'failed');
    assert.equal(await outcomeOf(withoutLength, endings.resetAfterTurn), 'failed');
  });

  it('without length and connection headers is incomplete when the connection is reset', async () => {
    const withoutHeaders = 'HTTP/1.1 200 OK\r\n\r\npart';
    for (const ending of [endings.reset, endings.resetAtOnce, endings.resetAfterTurn]) {
      assert.equal(await outcomeOf(withoutHeaders, ending), 'failed');
    }
    assert.equal(await outcomeOf(withoutHeaders, endings.close), 'end');
  });

  it('with a length is incomplete until all bytes have arrived', async () => {
    const withLength = 'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart';
    assert.equal(await outcomeOf(withLength, endings.close), 'failed');
    assert.equal(await outcomeOf(withLength, endings.reset), 'failed');
  });

  it('with chunked encoding is incomplete without the last chunk', async () => {
    const chunked = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n';
    assert.equal(await outcomeOf(chunked, endings.close), 'failed');
  });
});
