import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
import type { Address, PeerIdentity } from '@burdockrail/protocol/protocolAddress.js';
import { createPeerConnection, type PeerConnection } from './peerConnection.js';
import type { PeerHandlers } from './peerHandlers.js';
import type { TrafficMeter } from './trafficMeter.js';

/** Accepts connections of other processes. */
export interface PeerServer extends AsyncDisposable {
  /** Bound address; the port is the real one when the settings asked for port 0. */
  readonly address: Address;
  readonly connections: ReadonlySet<PeerConnection>;
}

/** Binds an address and answers messages with the given handlers. */
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
  const bound = server.address() as AddressInfo;
  return {
    address: { host: bound.address, port: bound.port },
    connections,
    [Symbol.asyncDispose]: async () => {
      const closed = once(server, 'close');
      server.close();
      for (const connection of connections) connection.destroy();
      await closed;
    },
  };
}
