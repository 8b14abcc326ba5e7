import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { createDisposalStack } from '@burdockrail/common/disposalStack.js';
import { monotonicClock } from '@burdockrail/common/timeSource.js';
import type { LinkListener, LinkMachine } from '@burdockrail/faultproxy/linkMachine.js';
import { unlimitedLinkShape } from '@burdockrail/faultproxy/linkShape.js';
import { startFaultProxyProcess } from '@burdockrail/faultproxy/faultProxyProcess.js';
import { findFreeAddress } from '@burdockrail/harness/addressPlan.js';
import { killChildOnExit } from '@burdockrail/harness/daemonProcess.js';
import { createLatencyRecorder, type LatencySummary } from './latencySummary.js';

const MILLISECONDS_PER_SECOND = 1_000;
const ROUND_TRIPS = 500;
const WRITE_BYTES = 64 * 1024;

/** Throughput and latency of connections between machines. */
export interface PathMeasurement {
  readonly bytesPerSecond: number;
  readonly roundTripMilliseconds: LatencySummary;
  /** Share of a core that the proxy process used during the bulk transfer; 0 without a proxy. */
  readonly proxyCores: number;
}

/** Options of {@link measurePath}. */
export interface PathOptions {
  readonly machines: number;
  readonly bytesPerMachine: number;
  readonly proxied: boolean;
  /** Bandwidth of each machine's link; unlimited when absent. */
  readonly machineBytesPerSecond?: number;
}

async function sendBulk(socket: Socket, bytes: number): Promise<void> {
  const block = Buffer.alloc(WRITE_BYTES);
  for (let sent = 0; sent < bytes; sent += block.length) {
    if (!socket.write(block)) await once(socket, 'drain');
  }
}

async function measureRoundTrips(socket: Socket): Promise<LatencySummary> {
  const recorder = createLatencyRecorder();
  for (let number = 0; number < ROUND_TRIPS; number += 1) {
    const startedAt = monotonicClock.now();
    socket.write('ping');
    await once(socket, 'data');
    recorder.record(monotonicClock.now() - startedAt);
  }
  return recorder.summary();
}

/** Measures connections between pairs of machines, either direct or through a proxy process. */
export async function measurePath(options: PathOptions): Promise<PathMeasurement> {
  await using disposables = createDisposalStack();
  const { machines: count, machineBytesPerSecond: rate } = options;
  const linkRates =
    rate === undefined ? {} : { egressBytesPerSecond: rate, ingressBytesPerSecond: rate };
  const machines: LinkMachine[] = [];
  const listeners: LinkListener[] = [];
  let receivedBytes = 0;
  let resolveAllReceived: () => void = () => undefined;
  const allBytesReceived = new Promise<void>((resolve) => (resolveAllReceived = resolve));
  for (let number = 1; number <= count; number += 1) {
    const host = `127.8.1.${number}`;
    const server = createServer((socket) => {
      disposables.defer(() => {
        socket.destroy();
      });
      socket.setNoDelay(true);
      socket.on('error', () => undefined);
      socket.on('data', (bytes) => {
        if (bytes.length <= 'ping'.length) socket.write(bytes);
        else receivedBytes += bytes.length;
        if (receivedBytes >= count * options.bytesPerMachine) resolveAllReceived();
      });
    });
    server.listen(0, host);
    await once(server, 'listening');
    disposables.defer(() => {
      server.close();
    });
    const { port } = server.address() as AddressInfo;
    const name = `machine-${number}`;
    machines.push({ name, host, dataCentre: 'a', region: 'a', ...linkRates });
    listeners.push({ machine: name, listen: await findFreeAddress(host), target: { host, port } });
  }
  const description = { machines, listeners, shape: unlimitedLinkShape };
  const proxy = options.proxied
    ? disposables.use(await startFaultProxyProcess(description, killChildOnExit))
    : undefined;
  const openConnection = async (listener: LinkListener, source: number): Promise<Socket> => {
    const localAddress = machines[source % count]?.host ?? '';
    const socket = connect({
      ...(options.proxied ? listener.listen : listener.target),
      localAddress,
    });
    disposables.defer(() => {
      socket.destroy();
    });
    socket.setNoDelay(true);
    await once(socket, 'connect');
    return socket;
  };
  const sockets = await Promise.all(
    listeners.map(async (listener, index) => openConnection(listener, index + 1)),
  );
  const [first] = sockets;
  if (first === undefined) throw new Error('cannot measure a path without machines');
  const roundTripMilliseconds = await measureRoundTrips(first);
  const before = await proxy?.counts();
  const startedAt = monotonicClock.now();
  await Promise.all(sockets.map(async (socket) => sendBulk(socket, options.bytesPerMachine)));
  await allBytesReceived;
  const elapsedMilliseconds = monotonicClock.now() - startedAt;
  const after = await proxy?.counts();
  const processorMilliseconds =
    (after?.processorMilliseconds ?? 0) - (before?.processorMilliseconds ?? 0);
  return {
    bytesPerSecond: (receivedBytes / elapsedMilliseconds) * MILLISECONDS_PER_SECOND,
    roundTripMilliseconds,
    proxyCores: processorMilliseconds / elapsedMilliseconds,
  };
}
