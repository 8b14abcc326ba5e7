import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { StreamHandlers } from '@burdockrail/transport/peerHandlers.js';
import type { DaemonContext } from './daemonRole.js';

/** Interval at which watchers hear that their source is up to date, in milliseconds. */
export const ALIVE_MILLISECONDS = 1_000;

/** Waits until a new configuration is in force, at most for the given time. */
async function nextConfiguration(
  context: DaemonContext,
  knownRevision: number,
  milliseconds: Milliseconds,
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
    const timer = setTimeout(finish, milliseconds);
    signal.addEventListener('abort', finish, { once: true });
    unsubscribe = context.configuration.subscribe(({ committed }) => {
      if (committed.revision > knownRevision) queueMicrotask(finish);
    });
  });
}

/**
 * Creates the handler that passes this process's configurations on to watchers.
 *
 * @param age - time since a quorum confirmed what this process has.
 */
export function createConfigurationRelay(
  context: DaemonContext,
  age: () => Milliseconds,
): StreamHandlers {
  return {
    'configuration.watch': async ({ knownRevision }, sink, { signal }) => {
      let known = knownRevision;
      while (!signal.aborted) {
        const committed = context.configuration.current?.committed;
        if (committed !== undefined && committed.revision > known) {
          known = committed.revision;
          await sink.write({ kind: 'committed', configuration: committed });
        }
        await sink.write({ kind: 'alive', ageMilliseconds: Math.round(age()) });
        await nextConfiguration(context, known, ALIVE_MILLISECONDS, signal);
      }
      throw new ResultError(ResultCode.ConnectionLost);
    },
  };
}
