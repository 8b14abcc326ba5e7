import { connect } from 'node:net';
import {
  formatAddress,
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

/** Time after which an attempt to connect is given up, in milliseconds. */
const CONNECT_TIMEOUT_MILLISECONDS = 1_000;

/** Connections to other processes, one an address, made when first used and again after a loss. */
export interface PeerClient extends AsyncDisposable {
  /** Connection to an address; a lost one is replaced. */
  to(address: Address): PeerConnection;
  notify<Kind extends NotificationKind>(
    address: Address,
    kind: Kind,
    message: PeerNotifications[Kind],
  ): void;
  /** Sum over all connections that this client made. */
  readonly counters: ConnectionCounters;
}

/** Options of {@link createPeerClient}. */
export interface PeerClientOptions {
  readonly identity: PeerIdentity;
  /** IP number to connect from, so that links can be told apart by machine. */
  readonly localHost?: string;
  /** Handlers for messages that the other side sends on these connections. */
  readonly handlers?: PeerHandlers;
  /** Counts what this client sends. */
  readonly meter?: TrafficMeter;
}

const noHandlers: PeerHandlers = { calls: {}, streams: {}, notifications: {} };

/** Creates a client. */
export function createPeerClient(options: PeerClientOptions): PeerClient {
  const connections = new Map<string, PeerConnection>();
  let closedSent = 0;
  let closedReceived = 0;

  const open = (address: Address): PeerConnection => {
    const socket = connect({
      host: address.host,
      port: address.port,
      ...(options.localHost === undefined ? {} : { localAddress: options.localHost }),
    });
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

  const to = (address: Address): PeerConnection => {
    const key = formatAddress(address);
    const known = connections.get(key);
    if (known !== undefined) return known;
    const connection = open(address);
    connections.set(key, connection);
    void connection.closed.then(() => {
      closedSent += connection.counters.sentBytes;
      closedReceived += connection.counters.receivedBytes;
      if (connections.get(key) === connection) connections.delete(key);
    });
    return connection;
  };

  return {
    to,
    notify: (address, kind, message) => {
      to(address).notify(kind, message);
    },
    get counters() {
      let sentBytes = closedSent;
      let receivedBytes = closedReceived;
      for (const connection of connections.values()) {
        sentBytes += connection.counters.sentBytes;
        receivedBytes += connection.counters.receivedBytes;
      }
      return { sentBytes, receivedBytes };
    },
    [Symbol.asyncDispose]: async () => {
      for (const connection of connections.values()) connection.destroy();
      await Promise.all([...connections.values()].map((connection) => connection.closed));
    },
  };
}
