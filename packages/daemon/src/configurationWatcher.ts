import { setTimeout } from 'node:timers/promises';
import { rendezvousOrder } from '@burdockrail/common/rendezvousHash.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { PeerSettings } from '@burdockrail/settings/settingsSchema.js';
import type { DaemonContext } from './daemonRole.js';

/** Silence after which a source is given up, in milliseconds. */
const SILENCE_MILLISECONDS = 2_500;

/** Age of a source's knowledge from which another source is tried, in milliseconds. */
const STALE_MILLISECONDS = 4_000;

/** Pause before the next source is tried, in milliseconds. */
const PAUSE_MILLISECONDS = 100;

/** Keeps the configuration of this process up to date from a relay. */
export interface ConfigurationWatcher extends AsyncDisposable {
  start(): void;
  /** Time since a quorum confirmed what this process has, as far as it knows, in milliseconds. */
  readonly ageMilliseconds: number;
}

/**
 * Sources of a process in order of preference.
 *
 * @remarks
 * Entries watch the controls, agents watch the entries: so each level serves a bounded number of
 * watchers and no two processes watch each other. Sources of the own data centre come first; equal
 * ones are spread over the watchers by rendezvous hash.
 */
function sourcesOf(context: DaemonContext): readonly PeerSettings[] {
  const { settings } = context;
  const level = settings.entry === undefined ? 'entry' : 'control';
  const peers = settings.peers
    .filter((peer) => peer.name !== settings.name)
    .filter((peer) => peer.roles.includes(level) || peer.roles.includes('control'));
  const spread = rendezvousOrder(settings.name, peers, (peer) => peer.name);
  const rank = (peer: PeerSettings): number => {
    const far = peer.dataCentre === settings.dataCentre ? 0 : 2;
    return far + (peer.roles.includes(level) ? 0 : 1);
  };
  return [...spread].sort((left, right) => rank(left) - rank(right));
}

/** Creates a watcher; it feeds `context.configuration`. */
export function createConfigurationWatcher(context: DaemonContext): ConfigurationWatcher {
  const { client, configuration, log, time } = context;
  const sources = sourcesOf(context);
  const stopping = new AbortController();
  let confirmedAt = Number.NEGATIVE_INFINITY;
  let finished: Promise<void> = Promise.resolve();
  let next = 0;

  const follow = async (source: PeerSettings): Promise<void> => {
    const silent = new AbortController();
    const signal = AbortSignal.any([silent.signal, stopping.signal]);
    let heardAt = time.now();
    const guard = setInterval(() => {
      if (time.now() - heardAt > SILENCE_MILLISECONDS) silent.abort();
    }, PAUSE_MILLISECONDS);
    try {
      const knownRevision = configuration.current?.committed.revision ?? 0;
      const items = client
        .connectionTo(source.address)
        .stream('configuration.watch', { knownRevision }, { signal });
      for await (const item of items) {
        heardAt = time.now();
        if (item.kind === 'committed') configuration.offer(item.configuration);
        else if (!accept(item.ageMilliseconds)) return;
      }
    } finally {
      clearInterval(guard);
    }
  };

  /** Takes a source's age; tells whether to stay with the source. */
  const accept = (age: Milliseconds): boolean => {
    confirmedAt = Math.max(confirmedAt, time.now() - age);
    return age < STALE_MILLISECONDS || sources.length === 1;
  };

  const run = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      const source = sources[next % Math.max(1, sources.length)];
      if (source !== undefined) {
        log.write('configurationSourceChanged', { source: source.name });
        await follow(source).catch(() => undefined);
      }
      next += 1;
      const { signal } = stopping;
      await setTimeout(PAUSE_MILLISECONDS, undefined, { signal }).catch(() => undefined);
    }
  };

  return {
    start: () => {
      finished = run();
    },
    get ageMilliseconds() {
      return time.now() - confirmedAt;
    },
    [Symbol.asyncDispose]: async () => {
      stopping.abort();
      await finished;
    },
  };
}
