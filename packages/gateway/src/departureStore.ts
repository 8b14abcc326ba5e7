import { machineFileSystem, type StorageFileSystem } from '@burdockrail/daemon/storageFiles.js';
import { DEPARTURE_RETENTION_MILLISECONDS } from '@burdockrail/membership/departureRegister.js';
import type {
  RelayedDeparture,
  UpstreamDeparture,
} from '@burdockrail/protocol/protocolDirectory.js';
import type { EventLog } from '@burdockrail/telemetry/eventLog.js';
import { openWholeFileStore } from './wholeFileStore.js';

/** A departure on disk. */
interface StoredDeparture {
  readonly departure: UpstreamDeparture;
  /** Wall-clock time at which the process received it, in Unix milliseconds. */
  readonly receivedAt: number;
}

/** File with the departures that a control process holds. */
export interface DepartureStore extends AsyncDisposable {
  /** Departures that were on disk when the store was opened, without those past their retention. */
  readonly stored: readonly RelayedDeparture[];
  /**
   * Writes all departures that the process holds; resolves once they are synced.
   *
   * @throws the error of the file system if the disk refuses the write.
   */
  write(): Promise<void>;
}

/** Options of {@link openDepartureStore}. */
export interface DepartureStoreOptions {
  readonly path: string;
  readonly log: EventLog;
  readonly fileSystem?: StorageFileSystem;
}

/** A {@link DepartureStore} that is told what to write once the process holds departures. */
export interface OpenedDepartureStore extends DepartureStore {
  /** Sets where the departures to write come from, with their ages. */
  writeFrom(held: () => readonly RelayedDeparture[]): void;
}

/**
 * Opens the store; a folder that cannot be created shows at the first write.
 *
 * @remarks
 * The file holds all departures of the last two minutes, so it is small. What cannot be read is left
 * out, since other processes hold it too.
 */
export async function openDepartureStore({
  path,
  log,
  fileSystem = machineFileSystem,
}: DepartureStoreOptions): Promise<OpenedDepartureStore> {
  const openedAt = Date.now();
  let listHeld = (): readonly RelayedDeparture[] => stored;
  const file = await openWholeFileStore({
    path,
    fileSystem,
    content: () =>
      listHeld().map(({ departure, ageMilliseconds }): StoredDeparture => ({
        departure,
        receivedAt: Date.now() - ageMilliseconds,
      })),
    onUnreadable: (error) => {
      log.write('departuresUnreadable', { reason: String(error) });
    },
    onRefused: (error) => {
      log.write('departuresUnstored', { reason: String(error) });
    },
  });
  const stored = ((file.stored ?? []) as readonly StoredDeparture[])
    .map(({ departure, receivedAt }) => ({
      departure,
      ageMilliseconds: Math.max(0, openedAt - receivedAt),
    }))
    .filter(({ ageMilliseconds }) => ageMilliseconds <= DEPARTURE_RETENTION_MILLISECONDS);
  return {
    stored,
    writeFrom: (held) => {
      listHeld = held;
    },
    write: async () => file.write(),
    [Symbol.asyncDispose]: async () => file[Symbol.asyncDispose](),
  };
}
