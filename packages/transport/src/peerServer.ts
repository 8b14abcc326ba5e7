import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
import type { Address, PeerIdentity } from '@burdockrail/protocol/protocolAddress.js';
import { createPeerConnection, type PeerConnection } from './peerConnection.js';
import type { PeerHandlers } from './peerHandlers.js';
import type { TrafficMeter } from './trafficMeter.js';

/** Accepts connections from other processes. */
export interface PeerServer extends AsyncDisposable {
  /** Bound address, with the actual port if the settings request port 0. */
  readonly address: Address;
  readonly connections: ReadonlySet<PeerConnection>;
}

/** Listens on an address and dispatches messages to the handlers. */
export async function createPeerServer(
  listen: Address,
  identity: PeerIdentity,
  handlers: PeerHandlers,
  meter?: TrafficMeter,
): Promise<PeerServer> {
  const connections = new Set<PeerConnection>();
  const server = createServer((socket) => {
    const connection = createPeerConnection(socket, identity, handlers, meter);
    connections.add(connection);
    void connection.closed.then(() => connections.delete(connection));
  });
  server.listen(listen.port, listen.host);
  await once(server, 'listening');
  const boundAddress = server.address() as AddressInfo;
  return {
    address: { host: boundAddress.address, port: boundAddress.port },
    connections,
    [Symbol.asyncDispose]: async () => {
      const closed = once(server, 'close');
      server.close();
      for (const connection of connections) connection.destroy();
      await closed;
    },
  };
}
