import { setTimeout as pause } from 'node:timers/promises';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { toResultError } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type {
  DirectoryUpdateSet,
  DirectoryWatch,
} from '@burdockrail/protocol/protocolDirectory.js';
import { createControlAddresses, parseAddress, type ControlAddresses } from './controlAddresses.js';
import type { GatewayContext } from './gatewayContext.js';

/** Time for which a control process may hold an answer back, in milliseconds. */
const WAIT_MILLISECONDS = 500;

/** Time beyond the wait after which a control process counts as lost, in milliseconds. */
const ANSWER_MILLISECONDS = 400;

/** Interval at which the settings are read while no control process answers, in milliseconds. */
const SEEDS_MILLISECONDS = 1_000;

/** Pause after a failed call, in milliseconds. */
const RETRY_PAUSE_MILLISECONDS = 60;

/** Age of a control process's own knowledge beyond which another is asked, in milliseconds. */
const OUTDATED_MILLISECONDS = 1_200;

/** Parts of a watch that differ between the roles. */
export type WatchBody = Pick<
  DirectoryWatch,
  'role' | 'caller' | 'configurationVersion' | 'engine' | 'crashes'
>;

/** Options of {@link createDirectoryWatcher}. */
export interface DirectoryWatcherOptions {
  readonly context: GatewayContext;
  readonly body: () => WatchBody;
  /** Takes an answer and the time at which it was asked for. */
  readonly onUpdate: (update: DirectoryUpdateSet, askedAt: Milliseconds) => void;
}

/** Keeps asking one control process after the other for what changed. */
export interface DirectoryWatcher extends AsyncDisposable {
  start(): void;
  readonly addresses: ControlAddresses;
}

/**
 * Creates a watcher.
 *
 * @remarks
 * Each call has a bound of its own, because a connection that has gone silent shows no error. After
 * a call that was not answered the connection is given up.
 */
export function createDirectoryWatcher(options: DirectoryWatcherOptions): DirectoryWatcher {
  const { context, body, onUpdate } = options;
  const { settings, client, time, log } = context;
  const stop = new AbortController();
  const addresses = createControlAddresses(settings.seeds, settings.dataCentre, () =>
    context.random.next(),
  );
  let control = '';
  let revision = 0;
  let crashRevision = 0;
  let lostAt: Milliseconds | null = null;
  let seedsReadAt = Number.NEGATIVE_INFINITY;

  const ask = async (address: string): Promise<void> => {
    const askedAt = time.now();
    const connection = client.to(parseAddress(address));
    const watch: DirectoryWatch = {
      ...body(),
      control,
      revision,
      crashRevision,
      relay: false,
      waitMilliseconds: WAIT_MILLISECONDS,
    };
    const timeoutMilliseconds = WAIT_MILLISECONDS + ANSWER_MILLISECONDS;
    const update = await connection
      .call('directory.watch', watch, { timeoutMilliseconds, signal: stop.signal })
      .catch((error: unknown) => {
        connection.destroy();
        throw error;
      });
    control = update.control;
    revision = update.revision;
    crashRevision = update.crashRevision;
    addresses.answered(address);
    addresses.learn(update.controls);
    onUpdate(update, askedAt);
    const age = update.confirmedAgeMilliseconds;
    if (age === null || age > OUTDATED_MILLISECONDS) addresses.outdated(address, time.now());
    if (lostAt === null) return;
    log.write('controlRegained', { control: address, lostMilliseconds: time.now() - lostAt });
    lostAt = null;
  };

  /** Takes seeds that the settings file names by now; nobody signals such a change. */
  const readSeeds = (now: Milliseconds): void => {
    if (lostAt === null || now - seedsReadAt < SEEDS_MILLISECONDS) return;
    seedsReadAt = now;
    addresses.addSeeds(context.presentSeeds() ?? []);
  };

  const lost = (address: string, error: unknown): void => {
    addresses.failed(address, time.now());
    readSeeds(time.now());
    if (lostAt !== null) return;
    lostAt = time.now();
    const { message } = toResultError(error, ResultCode.ConnectionLost);
    log.write('controlLost', { control: address, reason: message });
  };

  const hasStopped = (): boolean => stop.signal.aborted;

  const run = async (): Promise<void> => {
    while (!stop.signal.aborted) {
      const address = addresses.choose(time.now());
      if (address === undefined) return;
      try {
        await ask(address);
      } catch (error) {
        if (hasStopped()) return;
        lost(address, error);
        await pause(RETRY_PAUSE_MILLISECONDS);
      }
    }
  };

  let running: Promise<void> = Promise.resolve();
  return {
    addresses,
    start: () => {
      running = run();
    },
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      await running;
    },
  };
}
