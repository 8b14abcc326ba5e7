import { ResultCode } from '@burdockrail/common/resultCode.js';
import { toResultError } from '@burdockrail/common/outcome.js';
import type { PeerConnection } from '@burdockrail/transport/peerConnection.js';

/** Interval of the probes of a connection with attempts in progress, in milliseconds. */
const PROBE_INTERVAL_MILLISECONDS = 1_000;

/** Timeout of a probe, in milliseconds. */
const PROBE_TIMEOUT_MILLISECONDS = 2_000;

/**
 * Detects connections that are dead but were never closed.
 *
 * @remarks
 * A failed link drops packets silently, and an answer may legitimately pause for a long time.
 * Connections are therefore probed while attempts are in progress on them and destroyed if a probe
 * times out, so that the attempts fail immediately instead of at their deadlines. A process whose
 * handlers are slow still answers the probe.
 */
export interface ConnectionMonitor extends AsyncDisposable {
  /** Probes a connection until the returned function is called. */
  watch(connection: PeerConnection): () => void;
}

interface MonitoredConnection {
  watcherCount: number;
  readonly timer: NodeJS.Timeout;
}

async function probe(connection: PeerConnection): Promise<void> {
  try {
    await connection.call(
      'connection.ping',
      {},
      { timeoutMilliseconds: PROBE_TIMEOUT_MILLISECONDS },
    );
  } catch (error) {
    const { code } = toResultError(error, ResultCode.InternalError);
    if (code === ResultCode.CallTimedOut) connection.destroy();
  }
}

/** Creates a monitor without connections. */
export function createConnectionMonitor(): ConnectionMonitor {
  const monitored = new Map<PeerConnection, MonitoredConnection>();
  const stopProbing = (connection: PeerConnection): void => {
    clearInterval(monitored.get(connection)?.timer);
    monitored.delete(connection);
  };
  return {
    watch: (connection) => {
      const connectionState = monitored.get(connection) ?? {
        watcherCount: 0,
        timer: setInterval(() => void probe(connection), PROBE_INTERVAL_MILLISECONDS),
      };
      connectionState.watcherCount += 1;
      monitored.set(connection, connectionState);
      return () => {
        connectionState.watcherCount -= 1;
        if (connectionState.watcherCount === 0) stopProbing(connection);
      };
    },
    [Symbol.asyncDispose]: async () => {
      for (const connection of [...monitored.keys()]) stopProbing(connection);
      return Promise.resolve();
    },
  };
}
