import { once } from 'node:events';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout } from 'node:timers/promises';
import type { Address } from '@burdockrail/protocol/protocolAddress.js';

/** Handles one HTTP exchange; never rejects. */
export type ExchangeHandler = (message: IncomingMessage, response: ServerResponse) => Promise<void>;

/** The HTTP port towards callers and the platform. */
export interface EntryServer extends AsyncDisposable {
  readonly address: Address;
  /**
   * Ends each kept-alive connection with its next answer; resolves when callers had the time to
   * notice and no exchange is in progress any more.
   */
  drain(): Promise<void>;
}

/** Time for which an unused connection of a caller is kept open, in milliseconds. */
const KEEP_ALIVE_MILLISECONDS = 60_000;

/**
 * Time for which a draining entry still answers, in milliseconds. A connection closed while its
 * caller sends the next request would leave that caller without any answer.
 */
const DRAIN_GRACE_MILLISECONDS = 1_000;

/** Binds the port and hands each exchange to the handler. */
export async function createEntryServer(
  listen: Address,
  handle: ExchangeHandler,
): Promise<EntryServer> {
  const exchanges = new Set<Promise<void>>();
  let closing = false;
  const server = createServer((message, response) => {
    if (closing) response.setHeader('connection', 'close');
    const closed = once(response, 'close').then(() => undefined);
    const exchange = Promise.all([handle(message, response), closed]).then(() => {
      exchanges.delete(exchange);
    });
    exchanges.add(exchange);
  });
  server.keepAliveTimeout = KEEP_ALIVE_MILLISECONDS;
  // Answers of models may take longer than the library's own bound; deadlines are kept elsewhere.
  server.requestTimeout = 0;
  server.listen(listen.port, listen.host);
  await once(server, 'listening');
  const bound = server.address() as AddressInfo;
  return {
    address: { host: bound.address, port: bound.port },
    drain: async () => {
      closing = true;
      await setTimeout(DRAIN_GRACE_MILLISECONDS);
      while (exchanges.size > 0) await Promise.all(exchanges);
    },
    [Symbol.asyncDispose]: async () => {
      const closed = once(server, 'close');
      server.close();
      server.closeAllConnections();
      await closed;
    },
  };
}
