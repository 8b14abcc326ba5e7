import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { createDisposalStack } from '@burdockrail/common/disposalStack.js';
import { createFaultProxy, type FaultProxy } from '../src/faultProxy.js';
import type { LinkMachine } from '../src/linkMachine.js';
import { openShape, type LinkShape } from '../src/linkShape.js';

const near: LinkMachine = { name: 'near', host: '127.9.1.1', dataCentre: 'a', region: 'east' };
const far: LinkMachine = { name: 'far', host: '127.9.2.1', dataCentre: 'b', region: 'west' };

interface Bench extends AsyncDisposable {
  readonly proxy: FaultProxy;
  dial(): Promise<Socket>;
  /** Bytes that the far machine has received. */
  readonly received: () => number;
  /** Sockets that are open at the far machine. */
  readonly farSockets: ReadonlySet<Socket>;
}

async function freePort(host: string): Promise<number> {
  const server = createServer();
  server.listen(0, host);
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}

/** A proxy before a server on the far machine that sends everything back. */
async function createBench(shape: LinkShape, machines = [near, far]): Promise<Bench> {
  const owned = createDisposalStack();
  let received = 0;
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('data', (bytes) => (received += bytes.length));
    socket.on('error', () => undefined);
    socket.pipe(socket);
  });
  server.listen(0, far.host);
  await once(server, 'listening');
  owned.defer(() => {
    server.close();
    for (const socket of sockets) socket.destroy();
  });
  const target = { host: far.host, port: (server.address() as AddressInfo).port };
  const listen = { host: far.host, port: await freePort(far.host) };
  const listeners = [{ machine: 'far', listen, target }];
  const proxy = owned.use(await createFaultProxy({ machines, listeners, shape }));
  const dial = async (): Promise<Socket> => {
    const socket = connect({ ...listen, localAddress: near.host });
    owned.defer(() => {
      socket.destroy();
    });
    await once(socket, 'connect');
    return socket;
  };
  return {
    farSockets: sockets,
    proxy,
    dial,
    received: () => received,
    [Symbol.asyncDispose]: async () => owned[Symbol.asyncDispose](),
  };
}

async function echoTime(socket: Socket, text: string): Promise<number> {
  const startedAt = performance.now();
  socket.write(text);
  await once(socket, 'data');
  return performance.now() - startedAt;
}

describe('createFaultProxy', () => {
  it('carries bytes both ways with the latency of the regions', async () => {
    await using bench = await createBench({ ...openShape, betweenRegionsMilliseconds: 20 });
    const socket = await bench.dial();
    await echoTime(socket, 'first');
    const taken = await echoTime(socket, 'second');
    assert.ok(taken >= 39 && taken < 200, `${taken} ms`);
  });

  it('keeps to the rate of a machine over several connections and shares it evenly', async () => {
    const rate = 1_000_000;
    const machines = [{ ...near, egressBytesPerSecond: rate }, far];
    await using bench = await createBench(openShape, machines);
    const sockets = await Promise.all([bench.dial(), bench.dial()]);
    const startedAt = performance.now();
    const each = 200_000;
    const finished = sockets.map(async (socket) => {
      let back = 0;
      socket.write(Buffer.alloc(each));
      while (back < each) back += ((await once(socket, 'data')) as [Buffer])[0].length;
      return performance.now() - startedAt;
    });
    const [first = 0, second = 0] = await Promise.all(finished);
    const expected = ((2 * each) / rate) * 1_000;
    assert.ok(Math.max(first, second) >= expected * 0.95, `${first} ${second}`);
    assert.ok(Math.max(first, second) <= expected * 1.5, `${first} ${second}`);
    assert.ok(Math.min(first, second) >= expected * 0.8, `${first} ${second}`);
  });

  it('lets a short message pass beside bulk on a slow link', async () => {
    const machines = [{ ...near, egressBytesPerSecond: 500_000 }, far];
    await using bench = await createBench(openShape, machines);
    const bulk = await bench.dial();
    const brief = await bench.dial();
    bulk.resume();
    bulk.write(Buffer.alloc(400_000));
    await once(bulk, 'data');
    const taken = await echoTime(brief, 'short');
    assert.ok(taken < 60, `${taken} ms`);
  });

  it('holds everything back in a cut and delivers it after', async () => {
    await using bench = await createBench(openShape);
    const socket = await bench.dial();
    await echoTime(socket, 'before');
    const cut = { from: { region: 'east' }, to: { region: 'west' }, cut: true };
    await bench.proxy.setRules([cut]);
    const seen = bench.received();
    socket.write('during');
    await delay(50);
    assert.equal(bench.received(), seen);
    const answered = once(socket, 'data');
    await bench.proxy.setRules([]);
    assert.equal(String(((await answered) as [Buffer])[0]), 'during');
  });

  it('cuts one way only', async () => {
    await using bench = await createBench(openShape);
    const socket = await bench.dial();
    await echoTime(socket, 'before');
    const seen = bench.received();
    await bench.proxy.setRules([{ from: { machine: 'far' }, to: { machine: 'near' }, cut: true }]);
    let answered = false;
    socket.once('data', () => (answered = true));
    socket.write('during');
    while (bench.received() === seen) await delay(1);
    await delay(20);
    assert.equal(answered, false);
  });

  it('resets, corrupts and replays', async () => {
    await using bench = await createBench(openShape);
    const socket = await bench.dial();
    await echoTime(socket, 'before');
    await bench.proxy.setRules([{ from: { machine: 'near' }, to: {}, corruptShare: 1 }]);
    const bytes = Buffer.alloc(2_048);
    socket.write(bytes);
    const [back] = (await once(socket, 'data')) as [Buffer];
    assert.notDeepEqual(back, bytes.subarray(0, back.length));
    const failed = once(socket, 'error');
    socket.on('error', () => undefined);
    await bench.proxy.resetConnections({ machine: 'far' }, { machine: 'near' });
    socket.write('after');
    assert.match(String(((await failed) as [Error])[0]), /ECONNRESET|EPIPE/u);
    await bench.proxy.setRules([{ from: {}, to: {}, duplicate: true }]);
    const seen = bench.received();
    const doubled = await bench.dial();
    await echoTime(doubled, 'twice');
    while (bench.received() < seen + 10) await delay(1);
    assert.equal(bench.received(), seen + 10);
  });

  it('leaves no socket open behind it, though a cut held back the end of a connection', async () => {
    const bench = await createBench(openShape);
    const socket = await bench.dial();
    socket.write('x');
    await once(socket, 'data');
    await bench.proxy.setRules([{ from: {}, to: {}, bothWays: true, cut: true }]);
    socket.destroy();
    await once(socket, 'close');
    assert.equal(bench.farSockets.size, 1);
    const [farSocket] = bench.farSockets;
    assert.ok(farSocket !== undefined);
    const closed = new Promise((resolve) => farSocket.once('close', resolve));
    await Promise.all([closed, bench.proxy[Symbol.asyncDispose]()]);
    await bench[Symbol.asyncDispose]();
  });
});
