import { once } from 'node:events';
import type { Server } from 'node:http';
import { timerDelay } from '@burdockrail/common/timerDelay.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { createClientServer } from '@burdockrail/ingress/clientServer.js';
import { createChangeSignal } from './changeSignal.js';
import type { EntryContext } from './entryContext.js';
import { createEntryExchanges } from './entryExchanges.js';
import { createEntryHandler } from './entryHandler.js';
import { limitsInForce } from './entryLimits.js';
import type { EntrySlots } from './entrySlots.js';
import type { EntrySettings } from './gatewaySettings.js';

/** Longest time in which the answers at the end of the process are written, in milliseconds. */
const LAST_ANSWERS_MILLISECONDS = 150;

/** HTTP server for callers' requests. */
export interface EntryServer extends AsyncDisposable {
  /**
   * Ends connections with their answers from now on, and refuses requests that can't end by a time:
   * the one at which disposal answers what is left.
   */
  announceShutdown(endsAt: Milliseconds): void;
  /** Applies the limits of the configuration in force. */
  applyLimits(): void;
  /** Lets requests that wait for a confirmed configuration look again. */
  notifyClusterChange(): void;
  /** Number of requests whose answer has not been written completely. */
  readonly inProgress: number;
  /**
   * Stops accepting connections, closes each one once it is idle, and refuses requests that have not
   * begun.
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
  const { clusterView, metrics } = entry;
  const clusterSignal = createChangeSignal();
  const exchanges = createEntryExchanges(entry);
  const handle = createEntryHandler(entry, slots, { clusterSignal, exchanges });
  const answered = createChangeSignal();
  let isClosing = false;
  let inProgress = 0;

  const { server, connections, listen } = createClientServer({
    maximumConnections: entry.shares.maximumConnections('callers'),
    guard: entry.shares.guard,
    time: entry.time,
    metrics,
    handle: (exchange) => {
      inProgress += 1;
      const endsConnection = (): boolean => isClosing && exchange.turn.mayEndConnection();
      const closed = new Promise<void>((resolve) => {
        exchange.response.once('close', resolve);
      });
      void Promise.all([handle(exchange, endsConnection), closed]).finally(() => {
        inProgress -= 1;
        answered.notify();
      });
    },
  });
  const applyLimits = (): void => {
    const { headerTimeoutMilliseconds, idleTimeoutMilliseconds } = limitsInForce(clusterView);
    server.keepAliveTimeout = timerDelay(idleTimeoutMilliseconds);
    server.headersTimeout = timerDelay(headerTimeoutMilliseconds);
    server.timeout = timerDelay(idleTimeoutMilliseconds);
  };
  applyLimits();
  /** Waits until the answers have been written; a caller that does not read can't delay the end. */
  const waitForAnswers = async (): Promise<void> => {
    const signal = AbortSignal.timeout(LAST_ANSWERS_MILLISECONDS);
    while (inProgress > 0 && !signal.aborted)
      await answered.wait(LAST_ANSWERS_MILLISECONDS, signal);
  };
  await listen(settings.listen);
  return {
    announceShutdown: (endsAt) => {
      isClosing = true;
      exchanges.announceEnd(endsAt);
    },
    applyLimits,
    notifyClusterChange: () => {
      clusterSignal.notify();
    },
    get inProgress() {
      return inProgress;
    },
    stopListening: () => {
      exchanges.stopAdmission();
      server.close();
      connections.closeWhenIdle();
    },
    [Symbol.asyncDispose]: async () => {
      isClosing = true;
      exchanges.endAll();
      await waitForAnswers();
      const closed = once(server, 'close');
      // A server that has stopped listening emits `close` only if connections are still open.
      if (server.listening) server.close();
      else if ((await countConnections(server)) === 0) return;
      server.closeAllConnections();
      await closed;
    },
  };
}
