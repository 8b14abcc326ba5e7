import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
import type { ByteBudget } from '@burdockrail/common/byteBudget.js';
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

/** Memory for the frames of one connection that have not arrived completely. */
export interface FrameAccount extends ByteBudget {
  close(): void;
}

/** What the connections of a {@link PeerServer} may take of its process. */
export interface PeerServerBounds {
  readonly maximumConnections: number;
  /** Opens the account of a connection; `evict` closes it when others need its memory. */
  openAccount(evict: () => void): FrameAccount;
}

/** Listens on an address and dispatches messages to the handlers. */
export async function createPeerServer(
  listen: Address,
  identity: PeerIdentity,
  handlers: PeerHandlers,
  meter?: TrafficMeter,
  bounds?: PeerServerBounds,
): Promise<PeerServer> {
  const connections = new Set<PeerConnection>();
  /** Connections whose peer has not said who it is, the oldest first. */
  const unknown = new Set<PeerConnection>();
  const server = createServer((socket) => {
    const account = bounds?.openAccount(() => {
      socket.destroy();
    });
    const connection = createPeerConnection(socket, identity, handlers, meter, account);
    connections.add(connection);
    unknown.add(connection);
    connection.peer.then(
      () => unknown.delete(connection),
      () => undefined,
    );
    void connection.closed.then(() => {
      account?.close();
      connections.delete(connection);
      unknown.delete(connection);
    });
    if (bounds === undefined || connections.size <= bounds.maximumConnections) return;
    const [oldest] = unknown;
    oldest?.destroy();
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
