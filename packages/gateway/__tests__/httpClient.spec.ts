import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
import { describe, it } from 'node:test';
import { createHttpClient } from '../src/httpClient.js';

describe('a call to an engine or origin', { timeout: 30_000 }, () => {
  it('fails when the answer stops in its head or framed body', async () => {
    const answers = [
      'HTTP/1.1 200 OK\r\nServer: x\r\nContent-Length: 4\r\n\r\npart',
      'HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\npart',
      'HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n',
    ];
    for (const answer of answers) {
      for (let length = 0; length < answer.length; length += 1) {
        const server = createServer((socket) => {
          socket.on('error', () => undefined);
          socket.once('data', () => socket.end(answer.slice(0, length)));
        });
        server.listen(0, '127.0.0.1');
        await once(server, 'listening');
        const { port } = server.address() as AddressInfo;
        await using client = createHttpClient({ host: '127.0.0.1', port }, '127.0.0.1');
        const call = client.call({ method: 'GET', path: '/', body: null }, 5_000);
        await assert.rejects(call, JSON.stringify(answer.slice(0, length)));
        server.close();
      }
    }
  });
});
