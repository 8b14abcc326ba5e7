import { connect, Socket } from 'node:net';
import {
  formatAddress,
  isPort,
  type Address,
  type PeerIdentity,
} from '@burdockrail/protocol/protocolAddress.js';
import type { NotificationKind, PeerNotifications } from '@burdockrail/protocol/protocolKinds.js';
import {
  createPeerConnection,
  type ConnectionCounters,
  type PeerConnection,
} from './peerConnection.js';
import type { PeerHandlers } from './peerHandlers.js';
import type { TrafficMeter } from './trafficMeter.js';

/** Time after which a connection attempt is aborted, in milliseconds. */
const CONNECT_TIMEOUT_MILLISECONDS = 1_000;

/** Connections to other processes; new messages to an address use one, opened when there is none. */
export interface PeerClient extends AsyncDisposable {
  /** Returns the connection to an address, and opens one if there is none. */
  connectionTo(address: Address): PeerConnection;
  notify<Kind extends NotificationKind>(
    address: Address,
    kind: Kind,
    message: PeerNotifications[Kind],
  ): void;
  /** Totals over all connections that this client has opened, including closed ones. */
  readonly counters: ConnectionCounters;
}

/** Options of {@link createPeerClient}. */
export interface PeerClientOptions {
  readonly identity: PeerIdentity;
  /** Local IP address to connect from, so that links can be distinguished by machine. */
  readonly localHost?: string;
  /** Handlers of messages that the remote peer sends on these connections. */
  readonly handlers?: PeerHandlers;
  /** Counts the bytes that this client sends. */
  readonly meter?: TrafficMeter;
}

const noHandlers: PeerHandlers = { calls: {}, streams: {}, notifications: {} };

export function createPeerClient(options: PeerClientOptions): PeerClient {
  const connections = new Map<string, PeerConnection>();
  const openConnections = new Set<PeerConnection>();
  let closedSentBytes = 0;
  let closedReceivedBytes = 0;
  let isDisposed = false;

  /** A socket to a port that cannot exist is lost at the first write, like a refused one. */
  const openSocket = ({ host, port }: Address): Socket =>
    isPort(port)
      ? connect({
          host,
          port,
          ...(options.localHost === undefined ? {} : { localAddress: options.localHost }),
        })
      : new Socket();

  const openConnection = (address: Address): PeerConnection => {
    const socket = isDisposed ? new Socket().destroy() : openSocket(address);
    const timer = setTimeout(() => socket.destroy(), CONNECT_TIMEOUT_MILLISECONDS);
    socket.once('connect', () => {
      clearTimeout(timer);
    });
    socket.once('close', () => {
      clearTimeout(timer);
    });
    return createPeerConnection(
      socket,
      options.identity,
      options.handlers ?? noHandlers,
      options.meter,
    );
  };

  const connectionTo = (address: Address): PeerConnection => {
    const key = formatAddress(address);
    const existing = connections.get(key);
    if (existing !== undefined && !existing.isRetired) return existing;
    const connection = openConnection(address);
    connections.set(key, connection);
    openConnections.add(connection);
    void connection.closed.then(() => {
      closedSentBytes += connection.counters.sentBytes;
      closedReceivedBytes += connection.counters.receivedBytes;
      openConnections.delete(connection);
      if (connections.get(key) === connection) connections.delete(key);
    });
    return connection;
  };

  return {
    connectionTo,
    notify: (address, kind, message) => {
      connectionTo(address).notify(kind, message);
    },
    get counters() {
      let sentBytes = closedSentBytes;
      let receivedBytes = closedReceivedBytes;
      for (const connection of openConnections) {
        sentBytes += connection.counters.sentBytes;
        receivedBytes += connection.counters.receivedBytes;
      }
      return { sentBytes, receivedBytes };
    },
    [Symbol.asyncDispose]: async () => {
      // What is sent from now on is lost: a connection opened later would keep the process alive.
      isDisposed = true;
      for (const connection of openConnections) connection.destroy();
      await Promise.all([...openConnections].map((connection) => connection.closed));
    },
  };
}
