import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import type { Socket } from 'node:net';
import { createChangeSignal } from './changeSignal.js';
import { createCallerConnections } from './callerConnections.js';
import type { EntryContext } from './entryContext.js';
import { createEntryHandler } from './entryHandler.js';
import { defaultLimits, limitsInForce } from './entryLimits.js';
import type { EntrySlots } from './entrySlots.js';
import type { EntrySettings } from './gatewaySettings.js';

/** HTTP server for callers' requests. */
export interface EntryServer extends AsyncDisposable {
  /** Sends `Connection: close` with every answer from now on. */
  announceShutdown(): void;
  /** Applies the limits of the configuration in force. */
  applyLimits(): void;
  /** Lets requests that wait for a confirmed configuration look again. */
  notifyClusterChange(): void;
  /** Number of requests whose answer has not been written completely. */
  readonly inProgress: number;
  /**
   * Stops accepting connections, closes each one once it is idle, and refuses new requests, which
   * might not end within the grace period.
   */
  stopListening(): void;
}

async function countConnections(server: Server): Promise<number> {
  return new Promise((resolve, reject) => {
    server.getConnections((error, count) => {
      if (error === null) resolve(count);
      else reject(error);
    });
  });
}

/** Starts the server; resolves when it is listening. */
export async function startEntryServer(
  entry: EntryContext,
  settings: EntrySettings,
  slots: EntrySlots,
): Promise<EntryServer> {
  const { clusterView } = entry;
  const clusterSignal = createChangeSignal();
  const connections = createCallerConnections();
  let isClosing = false;
  let hasStopped = false;
  let inProgress = 0;
  const handle = createEntryHandler(entry, slots, {
    clusterSignal,
    get isClosing() {
      return isClosing;
    },
    get hasStopped() {
      return hasStopped;
    },
  });

  const server: Server = createServer(
    { maxHeaderSize: defaultLimits.headerBytes, keepAlive: true, noDelay: true },
    (request, response) => {
      inProgress += 1;
      const { socket } = request;
      connections.requestStarted(socket);
      response.once('finish', () => {
        connections.requestFinished(socket);
      });
      const closed = new Promise<void>((resolve) => {
        response.once('close', resolve);
      });
      void Promise.all([handle(request, response), closed]).finally(() => {
        inProgress -= 1;
      });
    },
  );
  const applyLimits = (): void => {
    const { headerTimeoutMilliseconds, idleTimeoutMilliseconds } = limitsInForce(clusterView);
    server.keepAliveTimeout = idleTimeoutMilliseconds;
    server.headersTimeout = headerTimeoutMilliseconds;
    server.requestTimeout = 0;
  };
  applyLimits();
  // When it closes, Node 20 would cut off answers that have ended but are not yet written.
  server.closeIdleConnections = () => undefined;
  server.on('connection', (socket: Socket) => {
    connections.add(socket);
  });
  server.listen(settings.listen.port, settings.listen.host, 1_024);
  await once(server, 'listening');
  return {
    announceShutdown: () => {
      isClosing = true;
    },
    applyLimits,
    notifyClusterChange: () => {
      clusterSignal.notify();
    },
    get inProgress() {
      return inProgress;
    },
    stopListening: () => {
      hasStopped = true;
      server.close();
      connections.closeWhenIdle();
    },
    [Symbol.asyncDispose]: async () => {
      const closed = once(server, 'close');
      // A server that has stopped listening emits `close` only if connections are still open.
      if (server.listening) server.close();
      else if ((await countConnections(server)) === 0) return;
      server.closeAllConnections();
      await closed;
    },
  };
}
