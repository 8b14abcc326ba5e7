import { ResultCode } from '@burdockrail/common/resultCode.js';
import { toResultError } from '@burdockrail/common/outcome.js';
import type { PeerConnection } from '@burdockrail/transport/peerConnection.js';

/** Time between two probes of a connection with attempts in progress, in milliseconds. */
const PROBE_INTERVAL_MILLISECONDS = 1_000;

/** Time in which the other side has to answer a probe, in milliseconds. */
const PROBE_TIMEOUT_MILLISECONDS = 2_000;

/**
 * Finds out that a connection is dead though nobody closed it.
 *
 * @remarks
 * A cut link drops packets without a word, and an answer may be silent for long for good reasons.
 * So connections are probed as long as attempts are in progress on them, and destroyed when a
 * probe stays without any reply; the attempts then fail at once instead of at their deadlines.
 */
export interface ConnectionWatch extends AsyncDisposable {
  /** Watches a connection until the returned function is called. */
  hold(connection: PeerConnection): () => void;
}

interface Watched {
  holders: number;
  readonly timer: NodeJS.Timeout;
}

async function probe(connection: PeerConnection): Promise<void> {
  try {
    await connection.call(
      'process.status',
      {},
      { timeoutMilliseconds: PROBE_TIMEOUT_MILLISECONDS },
    );
  } catch (error) {
    const { code } = toResultError(error, ResultCode.InternalError);
    if (code === ResultCode.CallTimedOut) connection.destroy();
  }
}

/** Creates a watch over no connections. */
export function createConnectionWatch(): ConnectionWatch {
  const watched = new Map<PeerConnection, Watched>();
  const drop = (connection: PeerConnection): void => {
    clearInterval(watched.get(connection)?.timer);
    watched.delete(connection);
  };
  return {
    hold: (connection) => {
      const known = watched.get(connection) ?? {
        holders: 0,
        timer: setInterval(() => void probe(connection), PROBE_INTERVAL_MILLISECONDS),
      };
      known.holders += 1;
      watched.set(connection, known);
      return () => {
        known.holders -= 1;
        if (known.holders === 0) drop(connection);
      };
    },
    [Symbol.asyncDispose]: async () => {
      for (const connection of [...watched.keys()]) drop(connection);
      return Promise.resolve();
    },
  };
}
