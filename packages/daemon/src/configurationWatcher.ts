import { setTimeout } from 'node:timers/promises';
import { rendezvousOrder } from '@burdockrail/common/rendezvousHash.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { PeerSettings } from '@burdockrail/settings/settingsSchema.js';
import type { DaemonContext } from './daemonRole.js';

/** Time without an item after which a source is abandoned, in milliseconds. */
const SILENCE_TIMEOUT_MILLISECONDS = 2_500;

/** Age of a source's configuration from which another source is tried, in milliseconds. */
const MAXIMUM_AGE_MILLISECONDS = 4_000;

/** Delay before the next source is tried, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 100;

/** Keeps the configuration of this process up to date by watching a relay. */
export interface ConfigurationWatcher extends AsyncDisposable {
  start(): void;
  /** Time since the last known confirmation of the configuration by a quorum, in milliseconds. */
  readonly confirmedAgeMilliseconds: number;
}

/**
 * Sources of a process in order of preference.
 *
 * @remarks
 * Entries watch the controls and agents watch the entries, so each role serves a bounded number of
 * watchers and no two processes watch each other. Sources in the same data centre come first;
 * rendezvous hashing spreads the watchers over sources of equal rank.
 */
function sourcesByPreference(context: DaemonContext): readonly PeerSettings[] {
  const { settings } = context;
  const preferredRole = settings.entry === undefined ? 'entry' : 'control';
  const peers = settings.peers
    .filter((peer) => peer.name !== settings.name)
    .filter((peer) => peer.roles.includes(preferredRole) || peer.roles.includes('control'));
  const orderedPeers = rendezvousOrder(settings.name, peers, (peer) => peer.name);
  const rank = (peer: PeerSettings): number => {
    const dataCentreRank = peer.dataCentre === settings.dataCentre ? 0 : 2;
    return dataCentreRank + (peer.roles.includes(preferredRole) ? 0 : 1);
  };
  return [...orderedPeers].sort((left, right) => rank(left) - rank(right));
}

/** Creates a watcher that passes configurations to `context.configuration`. */
export function createConfigurationWatcher(context: DaemonContext): ConfigurationWatcher {
  const { client, configuration, log, time } = context;
  const sources = sourcesByPreference(context);
  const stopController = new AbortController();
  let confirmedAt = Number.NEGATIVE_INFINITY;
  let watchingEnded: Promise<void> = Promise.resolve();
  let nextSourceIndex = 0;

  const watchSource = async (source: PeerSettings): Promise<void> => {
    const silenceAbort = new AbortController();
    const signal = AbortSignal.any([silenceAbort.signal, stopController.signal]);
    let lastItemAt = time.now();
    const silenceTimer = setInterval(() => {
      if (time.now() - lastItemAt > SILENCE_TIMEOUT_MILLISECONDS) silenceAbort.abort();
    }, RETRY_DELAY_MILLISECONDS);
    try {
      const knownRevision = configuration.current?.committed.revision ?? 0;
      const items = client
        .connectionTo(source.address)
        .stream('configuration.watch', { knownRevision }, { signal });
      for await (const item of items) {
        lastItemAt = time.now();
        if (item.kind === 'committed') configuration.offer(item.configuration);
        else if (!acceptAge(item.ageMilliseconds)) return;
      }
    } finally {
      clearInterval(silenceTimer);
    }
  };

  /** Records a source's age; returns whether to keep watching the source. */
  const acceptAge = (age: Milliseconds): boolean => {
    confirmedAt = Math.max(confirmedAt, time.now() - age);
    return age < MAXIMUM_AGE_MILLISECONDS || sources.length === 1;
  };

  const watchSources = async (): Promise<void> => {
    while (!stopController.signal.aborted) {
      const source = sources[nextSourceIndex % Math.max(1, sources.length)];
      if (source !== undefined) {
        log.write('configurationSourceChanged', { source: source.name });
        await watchSource(source).catch(() => undefined);
      }
      nextSourceIndex += 1;
      const { signal } = stopController;
      await setTimeout(RETRY_DELAY_MILLISECONDS, undefined, { signal }).catch(() => undefined);
    }
  };

  return {
    start: () => {
      watchingEnded = watchSources();
    },
    get confirmedAgeMilliseconds() {
      return time.now() - confirmedAt;
    },
    [Symbol.asyncDispose]: async () => {
      stopController.abort();
      await watchingEnded;
    },
  };
}
