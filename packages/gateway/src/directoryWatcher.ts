import { setTimeout as pause } from 'node:timers/promises';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { toResultError } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type {
  DirectoryWatchReply,
  DirectoryWatch,
} from '@burdockrail/protocol/protocolDirectory.js';
import { createControlAddresses, parseAddress, type ControlAddresses } from './controlAddresses.js';
import type { GatewayContext } from './gatewayContext.js';

/** Long-poll duration: a control process answers by then even without changes, in milliseconds. */
const LONG_POLL_MILLISECONDS = 500;

/** Time beyond the long poll after which a control process counts as lost, in milliseconds. */
const ANSWER_TIMEOUT_MARGIN_MILLISECONDS = 400;

/** Interval at which seeds are reread while no control process answers, in milliseconds. */
const SEEDS_REFRESH_MILLISECONDS = 1_000;

/** Delay after a failed call, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 60;

/** Age of a control process's confirmed state beyond which another is asked, in milliseconds. */
const MAXIMUM_CONFIRMED_AGE_MILLISECONDS = 1_200;

/** Fields of a watch that depend on the role. */
export type WatchBody = Pick<
  DirectoryWatch,
  'role' | 'caller' | 'configurationVersion' | 'engine' | 'findings'
>;

/** Options of {@link createDirectoryWatcher}. */
export interface DirectoryWatcherOptions {
  readonly context: GatewayContext;
  readonly buildBody: () => WatchBody;
  /** Receives an answer and the time of the call. */
  readonly onUpdate: (update: DirectoryWatchReply, askedAt: Milliseconds) => void;
}

/** Polls control processes for changes, one at a time. */
export interface DirectoryWatcher extends AsyncDisposable {
  start(): void;
  readonly addresses: ControlAddresses;
}

/**
 * Creates a watcher.
 *
 * @remarks
 * Each call has its own timeout, because a dead connection may report no error. The connection is
 * destroyed after a call without an answer.
 */
export function createDirectoryWatcher(options: DirectoryWatcherOptions): DirectoryWatcher {
  const { context, buildBody, onUpdate } = options;
  const { settings, client, time, log } = context;
  const stop = new AbortController();
  const addresses = createControlAddresses(settings.seeds, settings.dataCentre, () =>
    context.random.next(),
  );
  let controlIncarnation = '';
  let revision = 0;
  let findingRevision = 0;
  let controlLostAt: Milliseconds | null = null;
  let seedsReadAt = Number.NEGATIVE_INFINITY;

  const pollControl = async (address: string): Promise<void> => {
    const askedAt = time.now();
    const connection = client.connectionTo(parseAddress(address));
    const watch: DirectoryWatch = {
      ...buildBody(),
      control: controlIncarnation,
      revision,
      findingRevision,
      relay: false,
      waitMilliseconds: LONG_POLL_MILLISECONDS,
    };
    const timeoutMilliseconds = LONG_POLL_MILLISECONDS + ANSWER_TIMEOUT_MARGIN_MILLISECONDS;
    const update = await connection
      .call('directory.watch', watch, { timeoutMilliseconds, signal: stop.signal })
      .catch((error: unknown) => {
        connection.destroy();
        throw error;
      });
    controlIncarnation = update.control;
    revision = update.revision;
    findingRevision = update.findingRevision;
    addresses.recordAnswer(address);
    addresses.replacePeers(update.controls);
    onUpdate(update, askedAt);
    const confirmedAgeMilliseconds = update.confirmedAgeMilliseconds;
    if (
      confirmedAgeMilliseconds === null ||
      confirmedAgeMilliseconds > MAXIMUM_CONFIRMED_AGE_MILLISECONDS
    )
      addresses.recordOutdated(address, time.now());
    if (controlLostAt === null) return;
    log.write('controlRegained', {
      control: address,
      lostMilliseconds: time.now() - controlLostAt,
    });
    controlLostAt = null;
  };

  /** Rereads the seeds from the settings file; changes to it are not signalled. */
  const refreshSeeds = (now: Milliseconds): void => {
    if (controlLostAt === null || now - seedsReadAt < SEEDS_REFRESH_MILLISECONDS) return;
    seedsReadAt = now;
    addresses.addSeeds(context.readSeeds() ?? []);
  };

  const handleFailure = (address: string, error: unknown): void => {
    addresses.recordFailure(address, time.now());
    refreshSeeds(time.now());
    if (controlLostAt !== null) return;
    controlLostAt = time.now();
    const { message } = toResultError(error, ResultCode.ConnectionLost);
    log.write('controlLost', { control: address, reason: message });
  };

  const isStopped = (): boolean => stop.signal.aborted;

  const run = async (): Promise<void> => {
    while (!stop.signal.aborted) {
      const address = addresses.choose(time.now());
      if (address === undefined) return;
      try {
        await pollControl(address);
      } catch (error) {
        if (isStopped()) return;
        handleFailure(address, error);
        await pause(RETRY_DELAY_MILLISECONDS);
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
