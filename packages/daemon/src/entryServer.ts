import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import { setTimeout } from 'node:timers/promises';
import type { TimeSource } from '@burdockrail/common/timeSource.js';
import { createClientGuard } from '@burdockrail/ingress/clientGuard.js';
import { createClientServer, type ClientExchange } from '@burdockrail/ingress/clientServer.js';
import type { Address } from '@burdockrail/protocol/protocolAddress.js';
import type { EntrySettings } from '@burdockrail/settings/settingsSchema.js';
import type { EntryMetrics } from './metricsEntry.js';

/** Handles HTTP exchanges. */
export interface ExchangeHandler {
  /** Handles one exchange; never rejects. */
  handle(client: ClientExchange): Promise<void>;
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

/** Options of {@link createEntryServer}. */
export interface EntryServerOptions {
  readonly settings: Pick<EntrySettings, 'clientMemoryBytes' | 'http' | 'maximumConnections'>;
  readonly time: TimeSource;
  readonly metrics: Pick<EntryMetrics, 'countClientEvent'>;
}

/** Starts listening and passes each exchange to the handler. */
export async function createEntryServer(
  { settings, time, metrics }: EntryServerOptions,
  handler: ExchangeHandler,
): Promise<EntryServer> {
  const exchanges = new Set<Promise<void>>();
  let isDraining = false;
  const { server, listen } = createClientServer({
    maximumConnections: settings.maximumConnections,
    guard: createClientGuard(settings.clientMemoryBytes),
    time,
    metrics: {
      count: (name, labels) => {
        metrics.countClientEvent(name, labels);
      },
    },
    handle: (client) => {
      const { response } = client;
      if (isDraining) response.setHeader('connection', 'close');
      const closed = once(response, 'close').then(() => undefined);
      const exchange = Promise.all([handler.handle(client), closed]).then(() => {
        exchanges.delete(exchange);
      });
      exchanges.add(exchange);
    },
  });
  server.keepAliveTimeout = KEEP_ALIVE_MILLISECONDS;
  server.timeout = KEEP_ALIVE_MILLISECONDS;
  await listen(settings.http);
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
