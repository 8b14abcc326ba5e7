import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer as createHttpServer } from 'node:http';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { describe, it } from 'node:test';
import { createUpstreamConnections, type UpstreamConnections } from '../src/upstreamConnections.js';

/** How a server ends the connection after it has sent its bytes. */
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

/** What an observer was told before its attempt failed. */
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

describe('an upstream that takes no connection', () => {
  it('fails the attempt before anything was sent, and nothing else', async () => {
    await using connections = createUpstreamConnections('127.0.0.1');
    const server = createServer();
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    server.close();
    await once(server, 'close');
    const seen = await callsUntilFailure(connections, port);
    assert.deepEqual(seen, []);
  });
});

describe('a request that may not start any more when its connection is there', () => {
  it('is given up before a byte of it was sent', async () => {
    await using connections = createUpstreamConnections('127.0.0.1');
    let requests = 0;
    const server = createHttpServer((_request, response) => {
      requests += 1;
      response.end();
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    const seen = await callsUntilFailure(connections, port, { mayStart: false });
    server.close();
    assert.deepEqual(seen, []);
    assert.equal(requests, 0);
  });
});

describe('a request whose caller leaves', () => {
  it('is given up, before it was sent as well as afterwards', async () => {
    await using connections = createUpstreamConnections('127.0.0.1');
    const left = new AbortController();
    // Answers nothing, and tells that the request has come.
    const server = createHttpServer(() => {
      left.abort();
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    const { signal } = left;
    assert.deepEqual(await callsUntilFailure(connections, port, { signal }), ['sent']);
    assert.deepEqual(await callsUntilFailure(connections, port, { signal }), []);
    server.close();
    server.closeAllConnections();
  });
});

describe('an answer of an upstream', () => {
  const unframed = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart';

  it('without a length ends with an orderly close', async () => {
    assert.equal(await outcomeOf(unframed, endings.close), 'end');
  });

  it('without a length is not whole when its connection is reset', async () => {
    assert.equal(await outcomeOf(unframed, endings.reset), 'failed');
    assert.equal(await outcomeOf(unframed, endings.resetAtOnce), 'failed');
    assert.equal(await outcomeOf(unframed, endings.resetAfterTurn), 'failed');
  });

  it('without a length or a word on the connection is not whole when that is reset', async () => {
    const silent = 'HTTP/1.1 200 OK\r\n\r\npart';
    for (const ending of [endings.reset, endings.resetAtOnce, endings.resetAfterTurn]) {
      assert.equal(await outcomeOf(silent, ending), 'failed');
    }
    assert.equal(await outcomeOf(silent, endings.close), 'end');
  });

  it('with a length is not whole before all of it has come', async () => {
    const framed = 'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart';
    assert.equal(await outcomeOf(framed, endings.close), 'failed');
    assert.equal(await outcomeOf(framed, endings.reset), 'failed');
  });

  it('in chunks is not whole without the last one', async () => {
    const chunked = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n';
    assert.equal(await outcomeOf(chunked, endings.close), 'failed');
  });
});
