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

/** How an attempt ended at a server that first answers `before` others on the connection. */
async function outcomeOf(answer: string, ending: Ending, before = 0): Promise<string> {
  let answered = 0;
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', () => {
      answered += 1;
      if (answered <= before) {
        socket.write('HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx');
        return;
      }
      if (answered > before + 1) return;
      socket.write(answer);
      ending(socket);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  await using connections = createUpstreamConnections('127.0.0.1');
  const run = async (): Promise<string> =>
    new Promise((resolve) => {
      connections.run(
        `127.0.0.1:${port}`,
        1,
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
  try {
    for (let index = 0; index < before; index += 1) assert.equal(await run(), 'end');
    return await run();
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

describe('an answer that stops in its head', { timeout: 30_000 }, () => {
  const heads: Readonly<Record<string, string>> = {
    'a length': 'HTTP/1.1 200 OK\r\nX-Signed: yes\r\nContent-Length: 4\r\n\r\n',
    chunks: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
    neither: 'HTTP/1.1 200 OK\r\nX-Signed: yes\r\n\r\n',
    'a length and a close': 'HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\n',
    'neither and a close': 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n',
    'status 204': 'HTTP/1.1 204 No Content\r\nX-Signed: yes\r\n\r\n',
    'HTTP/1.0': 'HTTP/1.0 200 OK\r\nX-Signed: yes\r\n\r\n',
    'an interim head before': 'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n\r\n',
    'an interim head and a close before':
      'HTTP/1.1 102 Processing\r\nConnection: close\r\n\r\nHTTP/1.1 200 OK\r\n\r\n',
  };

  for (const [name, head] of Object.entries(heads)) {
    it(`is incomplete after each byte, closed or reset (${name})`, async () => {
      for (let length = 1; length < head.length; length += 1) {
        for (const ending of [endings.close, endings.resetAtOnce]) {
          const sent = head.slice(0, length);
          assert.equal(await outcomeOf(sent, ending), 'failed', JSON.stringify(sent));
          assert.equal(await outcomeOf(sent, ending, 1), 'failed', `kept, ${JSON.stringify(sent)}`);
        }
      }
    });
  }

  it('is incomplete after an interim head with status 100', async () => {
    const interim = 'HTTP/1.1 100 Continue\r\n\r\n';
    assert.equal(await outcomeOf(interim, endings.close), 'failed');
    assert.equal(await outcomeOf(`${interim}HTTP/1.1 200 OK\r\nCont`, endings.close), 'failed');
  });
});

describe('an answer that stops in its body', { timeout: 30_000 }, () => {
  for (const connection of ['keep-alive', 'close']) {
    const bodies: Readonly<Record<string, string>> = {
      'a length': 'Content-Length: 9\r\n\r\nwhole one',
      chunks: 'Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n1\r\nx\r\n0\r\n\r\n',
    };
    for (const [name, body] of Object.entries(bodies)) {
      it(`is incomplete after each byte, closed or reset (${name}, ${connection})`, async () => {
        const answer = `HTTP/1.1 200 OK\r\nConnection: ${connection}\r\n${body}`;
        const start = answer.indexOf('\r\n\r\n') + 4;
        for (let length = start; length < answer.length; length += 1) {
          for (const ending of [endings.close, endings.resetAtOnce, endings.reset]) {
            const sent = answer.slice(0, length);
            assert.equal(await outcomeOf(sent, ending), 'failed', JSON.stringify(sent));
          }
        }
        assert.equal(await outcomeOf(answer, endings.close), 'end');
      });
    }
  }
});
