import assert from 'node:assert/strict';
import { once } from 'node:events';
import { readFileSync } from 'node:fs';
import { connect, createServer, type AddressInfo } from 'node:net';
import { describe, it } from 'node:test';
import { findFreeAddress } from '../src/addressPlan.js';

/** Lowest port that Linux gives to outgoing connections by default. */
const DEFAULT_FIRST_OUTGOING_PORT = 32_768;

const HOST = '127.0.0.1';

function firstOutgoingPort(): number {
  try {
    const range = readFileSync('/proc/sys/net/ipv4/ip_local_port_range', 'utf8');
    return Number(range.split(/\s+/u)[0]);
  } catch {
    // Other systems have another file or none.
    return DEFAULT_FIRST_OUTGOING_PORT;
  }
}

describe('a free port', () => {
  it('is none that an outgoing connection may take before its process listens', async () => {
    const first = Math.min(firstOutgoingPort(), DEFAULT_FIRST_OUTGOING_PORT);
    for (let index = 0; index < 50; index += 1) {
      const { port } = await findFreeAddress(HOST);
      assert.ok(port < first, `${port}`);
    }
  });

  it('is given to one process only', async () => {
    // More ports than can be drawn at random without drawing one twice.
    const count = 2_000;
    const ports = new Set<number>();
    for (let index = 0; index < count; index += 1) ports.add((await findFreeAddress(HOST)).port);
    assert.equal(ports.size, count);
  });

  it('is not in use', async () => {
    const { host, port } = await findFreeAddress(HOST);
    const server = createServer((socket) => socket.end()).listen(port, host);
    await once(server, 'listening');
    assert.equal((server.address() as AddressInfo).port, port);
    const socket = connect({ host, port });
    await once(socket, 'connect');
    socket.destroy();
    server.close();
    await once(server, 'close');
  });
});
