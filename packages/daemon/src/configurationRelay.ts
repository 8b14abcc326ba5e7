import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { StreamHandlers } from '@burdockrail/transport/peerHandlers.js';
import type { DaemonContext } from './daemonRole.js';

/** Interval at which a relay sends watchers the age of its configuration, in milliseconds. */
export const KEEPALIVE_INTERVAL_MILLISECONDS = 1_000;

/** Waits for a configuration with a higher revision, until the timeout or an abort. */
async function awaitNewConfiguration(
  context: DaemonContext,
  knownRevision: number,
  timeoutMilliseconds: Milliseconds,
  signal: AbortSignal,
): Promise<void> {
  return new Promise((resolve) => {
    let unsubscribe: () => void = () => undefined;
    const finish = (): void => {
      clearTimeout(timer);
      signal.removeEventListener('abort', finish);
      unsubscribe();
      resolve();
    };
    const timer = setTimeout(finish, timeoutMilliseconds);
    signal.addEventListener('abort', finish, { once: true });
    unsubscribe = context.configuration.subscribe(({ committed }) => {
      if (committed.revision > knownRevision) queueMicrotask(finish);
    });
  });
}

/**
 * Creates the stream handler that relays this process's configurations to watchers.
 *
 * @param confirmedAge - time since a quorum confirmed this process's configuration.
 */
export function createConfigurationRelay(
  context: DaemonContext,
  confirmedAge: () => Milliseconds,
): StreamHandlers {
  return {
    'configuration.watch': async ({ knownRevision }, sink, { signal }) => {
      let sentRevision = knownRevision;
      while (!signal.aborted) {
        const committed = context.configuration.current?.committed;
        if (committed !== undefined && committed.revision > sentRevision) {
          sentRevision = committed.revision;
          await sink.write({ kind: 'committed', configuration: committed });
        }
        await sink.write({ kind: 'alive', ageMilliseconds: Math.round(confirmedAge()) });
        await awaitNewConfiguration(context, sentRevision, KEEPALIVE_INTERVAL_MILLISECONDS, signal);
      }
      throw new ResultError(ResultCode.ConnectionLost);
    },
  };
}
