import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { createDisposalStack } from '@burdockrail/common/disposalStack.js';
import { createFaultProxy, type FaultProxy } from '../src/faultProxy.js';
import type { LinkMachine } from '../src/linkMachine.js';
import { unlimitedLinkShape, type LinkShape } from '../src/linkShape.js';

const near: LinkMachine = { name: 'near', host: '127.9.1.1', dataCentre: 'a', region: 'east' };
const far: LinkMachine = { name: 'far', host: '127.9.2.1', dataCentre: 'b', region: 'west' };

interface TestProxy extends AsyncDisposable {
  readonly proxy: FaultProxy;
  openConnection(): Promise<Socket>;
  /** Number of bytes that the server has received. */
  readonly receivedBytes: () => number;
  /** Open sockets of the server. */
  readonly serverSockets: ReadonlySet<Socket>;
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

/** Starts a proxy in front of an echo server on the machine `far`. */
async function createTestProxy(shape: LinkShape, machines = [near, far]): Promise<TestProxy> {
  const disposals = createDisposalStack();
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
  disposals.defer(() => {
    server.close();
    for (const socket of sockets) socket.destroy();
  });
  const target = { host: far.host, port: (server.address() as AddressInfo).port };
  const listen = { host: far.host, port: await freePort(far.host) };
  const listeners = [{ machine: 'far', listen, target }];
  const proxy = disposals.use(await createFaultProxy({ machines, listeners, shape }));
  const openConnection = async (): Promise<Socket> => {
    const socket = connect({ ...listen, localAddress: near.host });
    disposals.defer(() => {
      socket.destroy();
    });
    await once(socket, 'connect');
    return socket;
  };
  return {
    serverSockets: sockets,
    proxy,
    openConnection,
    receivedBytes: () => received,
    [Symbol.asyncDispose]: async () => disposals[Symbol.asyncDispose](),
  };
}

async function measureEcho(socket: Socket, text: string): Promise<number> {
  const startedAt = performance.now();
  socket.write(text);
  await once(socket, 'data');
  return performance.now() - startedAt;
}

describe('createFaultProxy', () => {
  it('forwards data both ways with the latency between regions', async () => {
    await using testProxy = await createTestProxy({
      ...unlimitedLinkShape,
      betweenRegionsMilliseconds: 20,
    });
    const socket = await testProxy.openConnection();
    await measureEcho(socket, 'first');
    const milliseconds = await measureEcho(socket, 'second');
    assert.ok(milliseconds >= 39 && milliseconds < 200, `${milliseconds} ms`);
  });

  it('limits a machine to its rate and shares the rate evenly between connections', async () => {
    const rate = 1_000_000;
    const machines = [{ ...near, egressBytesPerSecond: rate }, far];
    await using testProxy = await createTestProxy(unlimitedLinkShape, machines);
    const sockets = await Promise.all([testProxy.openConnection(), testProxy.openConnection()]);
    const startedAt = performance.now();
    const bytesPerConnection = 200_000;
    const finished = sockets.map(async (socket) => {
      let receivedBytes = 0;
      socket.write(Buffer.alloc(bytesPerConnection));
      while (receivedBytes < bytesPerConnection)
        receivedBytes += ((await once(socket, 'data')) as [Buffer])[0].length;
      return performance.now() - startedAt;
    });
    const [first = 0, second = 0] = await Promise.all(finished);
    const expected = ((2 * bytesPerConnection) / rate) * 1_000;
    assert.ok(Math.max(first, second) >= expected * 0.95, `${first} ${second}`);
    assert.ok(Math.max(first, second) <= expected * 1.5, `${first} ${second}`);
    assert.ok(Math.min(first, second) >= expected * 0.8, `${first} ${second}`);
  });

  it('does not queue a short message behind a bulk transfer on a slow link', async () => {
    const machines = [{ ...near, egressBytesPerSecond: 500_000 }, far];
    await using testProxy = await createTestProxy(unlimitedLinkShape, machines);
    const bulk = await testProxy.openConnection();
    const shortMessages = await testProxy.openConnection();
    bulk.resume();
    bulk.write(Buffer.alloc(400_000));
    await once(bulk, 'data');
    const milliseconds = await measureEcho(shortMessages, 'short');
    assert.ok(milliseconds < 60, `${milliseconds} ms`);
  });

  it('holds data back during a cut and delivers it afterwards', async () => {
    await using testProxy = await createTestProxy(unlimitedLinkShape);
    const socket = await testProxy.openConnection();
    await measureEcho(socket, 'before');
    const cut = { from: { region: 'east' }, to: { region: 'west' }, cut: true };
    await testProxy.proxy.setRules([cut]);
    const receivedBefore = testProxy.receivedBytes();
    socket.write('during');
    await delay(50);
    assert.equal(testProxy.receivedBytes(), receivedBefore);
    const answered = once(socket, 'data');
    await testProxy.proxy.setRules([]);
    assert.equal(String(((await answered) as [Buffer])[0]), 'during');
  });

  it('cuts one direction only', async () => {
    await using testProxy = await createTestProxy(unlimitedLinkShape);
    const socket = await testProxy.openConnection();
    await measureEcho(socket, 'before');
    const receivedBefore = testProxy.receivedBytes();
    await testProxy.proxy.setRules([
      { from: { machine: 'far' }, to: { machine: 'near' }, cut: true },
    ]);
    let isAnswered = false;
    socket.once('data', () => (isAnswered = true));
    socket.write('during');
    while (testProxy.receivedBytes() === receivedBefore) await delay(1);
    await delay(20);
    assert.equal(isAnswered, false);
  });

  it('corrupts data, resets connections and duplicates their data', async () => {
    await using testProxy = await createTestProxy(unlimitedLinkShape);
    const socket = await testProxy.openConnection();
    await measureEcho(socket, 'before');
    await testProxy.proxy.setRules([{ from: { machine: 'near' }, to: {}, corruptShare: 1 }]);
    const bytes = Buffer.alloc(2_048);
    socket.write(bytes);
    const [back] = (await once(socket, 'data')) as [Buffer];
    assert.notDeepEqual(back, bytes.subarray(0, back.length));
    const failed = once(socket, 'error');
    socket.on('error', () => undefined);
    await testProxy.proxy.resetConnections({ machine: 'far' }, { machine: 'near' });
    socket.write('after');
    assert.match(String(((await failed) as [Error])[0]), /ECONNRESET|EPIPE/u);
    await testProxy.proxy.setRules([{ from: {}, to: {}, duplicate: true }]);
    const receivedBefore = testProxy.receivedBytes();
    const duplicated = await testProxy.openConnection();
    await measureEcho(duplicated, 'twice');
    while (testProxy.receivedBytes() < receivedBefore + 10) await delay(1);
    assert.equal(testProxy.receivedBytes(), receivedBefore + 10);
  });

  it('closes all sockets on disposal, even if a cut holds back the end of a connection', async () => {
    const testProxy = await createTestProxy(unlimitedLinkShape);
    const socket = await testProxy.openConnection();
    socket.write('x');
    await once(socket, 'data');
    await testProxy.proxy.setRules([{ from: {}, to: {}, bothWays: true, cut: true }]);
    socket.destroy();
    await once(socket, 'close');
    assert.equal(testProxy.serverSockets.size, 1);
    const [serverSocket] = testProxy.serverSockets;
    assert.ok(serverSocket !== undefined);
    const closed = new Promise((resolve) => serverSocket.once('close', resolve));
    await Promise.all([closed, testProxy.proxy[Symbol.asyncDispose]()]);
    await testProxy[Symbol.asyncDispose]();
  });
});
