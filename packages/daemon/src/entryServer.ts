import { once } from 'node:events';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout } from 'node:timers/promises';
import type { Address } from '@burdockrail/protocol/protocolAddress.js';

/** Handles HTTP exchanges. */
export interface ExchangeHandler {
  /** Handles one exchange; never rejects. */
  handle(message: IncomingMessage, response: ServerResponse): Promise<void>;
  /** Answers each exchange in progress, because the process ends. */
  endAll(): void;
}

/** HTTP server for callers and the platform. */
export interface EntryServer extends AsyncDisposable {
  readonly address: Address;
  /**
   * Closes each kept-alive connection after its next answer; resolves when the grace period has
   * passed and no exchange is in progress.
   */
  drain(): Promise<void>;
}

/** Time for which an idle connection is kept open, in milliseconds. */
const KEEP_ALIVE_MILLISECONDS = 60_000;

/**
 * Grace period in which a draining entry still answers, in milliseconds. If a connection were
 * closed while its caller sends the next request, that caller would get no answer.
 */
const DRAIN_GRACE_MILLISECONDS = 1_000;

/** Longest time in which the answers at the end of the process are written, in milliseconds. */
const LAST_ANSWERS_MILLISECONDS = 150;

/** Starts listening and passes each exchange to the handler. */
export async function createEntryServer(
  listen: Address,
  handler: ExchangeHandler,
): Promise<EntryServer> {
  const exchanges = new Set<Promise<void>>();
  let isDraining = false;
  const server = createServer((message, response) => {
    if (isDraining) response.setHeader('connection', 'close');
    const closed = once(response, 'close').then(() => undefined);
    const exchange = Promise.all([handler.handle(message, response), closed]).then(() => {
      exchanges.delete(exchange);
    });
    exchanges.add(exchange);
  });
  server.keepAliveTimeout = KEEP_ALIVE_MILLISECONDS;
  // Model answers may take longer than the library's timeout; request deadlines bound them instead.
  server.requestTimeout = 0;
  server.listen(listen.port, listen.host);
  await once(server, 'listening');
  const listenAddress = server.address() as AddressInfo;
  return {
    address: { host: listenAddress.address, port: listenAddress.port },
    drain: async () => {
      isDraining = true;
      await setTimeout(DRAIN_GRACE_MILLISECONDS);
      while (exchanges.size > 0) await Promise.all(exchanges);
    },
    [Symbol.asyncDispose]: async () => {
      isDraining = true;
      handler.endAll();
      const written = setTimeout(LAST_ANSWERS_MILLISECONDS, undefined, { ref: false });
      await Promise.race([Promise.all(exchanges), written]);
      const closed = once(server, 'close');
      server.close();
      server.closeAllConnections();
      await closed;
    },
  };
}
