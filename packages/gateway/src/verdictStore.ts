import { machineFileSystem, type StorageFileSystem } from '@burdockrail/daemon/storageFiles.js';
import { isLoadVerdicts } from '@burdockrail/membership/upstreamRecordCheck.js';
import type {
  UpstreamRegistry,
  UpstreamVerdicts,
} from '@burdockrail/membership/upstreamRegistry.js';
import type { EventLog } from '@burdockrail/telemetry/eventLog.js';
import { openWholeFileStore } from './wholeFileStore.js';

/** Keeps what agents say of loads over a restart of all processes. */
export interface VerdictStore extends AsyncDisposable {
  /** Writes the verdicts of the registry if they have changed since the last call. */
  writeChanges(): void;
}

/** Options of {@link openVerdictStore}. */
export interface VerdictStoreOptions {
  readonly path: string;
  readonly log: EventLog;
  readonly upstreams: UpstreamRegistry;
  readonly now: number;
  readonly fileSystem?: StorageFileSystem;
}

function isUpstreamVerdicts(value: unknown): value is UpstreamVerdicts {
  if (typeof value !== 'object' || value === null) return false;
  const { id, loads } = value as Partial<UpstreamVerdicts>;
  return typeof id === 'string' && isLoadVerdicts(loads);
}

/**
 * Opens the store and gives the registry what was on disk.
 *
 * @remarks
 * A verdict that is lost costs a read-back of the load, so nobody waits for a write.
 */
export async function openVerdictStore(options: VerdictStoreOptions): Promise<VerdictStore> {
  const { path, log, upstreams, now, fileSystem = machineFileSystem } = options;
  const file = await openWholeFileStore({
    path,
    fileSystem,
    content: () => upstreams.verdicts,
    onUnreadable: (error) => {
      log.write('verdictsUnreadable', { reason: String(error) });
    },
    onRefused: (error) => {
      log.write('verdictsUnstored', { reason: String(error) });
    },
  });
  const stored: readonly unknown[] = Array.isArray(file.stored) ? file.stored : [];
  for (const { id, loads } of stored.filter(isUpstreamVerdicts))
    upstreams.setVerdicts(id, loads, now);
  let writtenRevision = upstreams.verdictRevision;
  return {
    writeChanges: () => {
      if (writtenRevision === upstreams.verdictRevision) return;
      writtenRevision = upstreams.verdictRevision;
      // A refused write is logged by the store; the next change writes all again.
      file.write().catch(() => undefined);
    },
    [Symbol.asyncDispose]: async () => file[Symbol.asyncDispose](),
  };
}
