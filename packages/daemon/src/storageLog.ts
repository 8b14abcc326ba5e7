import { mkdir, readdir, rm, type FileHandle } from 'node:fs/promises';
import { join } from 'node:path';
import type { StoredRecord } from '@burdockrail/agreement/replicaEffect.js';
import { decodeBody, encodeBody } from '@burdockrail/transport/frameCodec.js';
import { encodeBatch } from './storageBatch.js';
import {
  machineFileSystem,
  replaceFileAtomically,
  syncFolder,
  writeAndSyncFile,
  type StorageFileSystem,
} from './storageFiles.js';
import type { GroupStorage } from './groupStorage.js';
import {
  LOG_FILE_PREFIX,
  logFileName,
  readStorageFolder,
  SNAPSHOT_FILE,
  type SnapshotFileContent,
  type StoredFolder,
} from './storageReader.js';

type SnapshotRecord = Extract<StoredRecord, { readonly kind: 'snapshot' }>;

interface PendingAppend {
  readonly records: readonly StoredRecord[];
  /** Encoded on submission, because the state behind a snapshot may change before the write. */
  readonly encoded: Buffer;
  readonly resolve: () => void;
  readonly reject: (error: unknown) => void;
}

async function removeStaleLogs(folder: string, generation: number): Promise<void> {
  const names = await readdir(folder);
  const stale = names.filter(
    (name) => name.startsWith(LOG_FILE_PREFIX) && name !== logFileName(generation),
  );
  for (const name of stale) await rm(join(folder, name));
}

/** Records at the start of the log that follows a snapshot. */
function initialLogRecords(record: SnapshotRecord): readonly StoredRecord[] {
  const { term, votedFor, entries } = record;
  return [
    { kind: 'vote', term, votedFor },
    { kind: 'entries', entries },
  ];
}

/** File that is written to an empty folder to see whether the disk accepts it. */
const PROBE_FILE = 'probe';

async function probeWrite(fileSystem: StorageFileSystem, folder: string): Promise<void> {
  const path = join(folder, PROBE_FILE);
  await writeAndSyncFile(fileSystem, path, Buffer.from(PROBE_FILE));
  await rm(path);
}

/**
 * Replaces the files by synced copies of their valid content.
 *
 * @remarks
 * What reads back may be in memory only: its sync may have failed or never have begun, and after a
 * failed sync a later one of the same file succeeds without the lost pages. The log comes first,
 * since a snapshot file whose rename was not synced may be followed by that of its log.
 */
async function rewriteFiles(
  fileSystem: StorageFileSystem,
  folder: string,
  { generation, validLog, snapshotFile }: StoredFolder,
): Promise<void> {
  await replaceFileAtomically(fileSystem, join(folder, logFileName(generation)), validLog);
  await replaceFileAtomically(fileSystem, join(folder, SNAPSHOT_FILE), snapshotFile);
}

/** Options of {@link openStorageLog}. */
export interface StorageLogOptions {
  readonly folder: string;
  /** Incarnation of the replica if the folder is empty. */
  readonly freshIncarnation: string;
  /** Called after an unsynced batch was truncated, with the length of the valid log in bytes. */
  readonly onTailCut: (validBytes: number) => void;
  readonly fileSystem?: StorageFileSystem;
}

/**
 * Opens a replica's storage on disk.
 *
 * @remarks
 * The folder contains a snapshot file and one log file; the snapshot names its log by a generation
 * number. Each new snapshot starts a new log: the log is written first, then a rename replaces the
 * snapshot file.
 *
 * After a failed write the storage accepts no more records, because the content of its files is
 * unknown; opened again, it continues with the records that are complete, as after a restart.
 *
 * @throws `ResultError` with `StorageCorrupt` if synced data fails its checksum or the log is
 * missing, and an error of the file system if the disk refuses writes.
 */
export async function openStorageLog(options: StorageLogOptions): Promise<GroupStorage> {
  const { folder, freshIncarnation, onTailCut, fileSystem = machineFileSystem } = options;
  await mkdir(folder, { recursive: true });
  const storedFolder = await readStorageFolder(folder);
  const incarnation = storedFolder?.incarnation ?? freshIncarnation;
  const storedReplica = storedFolder?.stored ?? null;
  let generation = storedFolder?.generation ?? 0;
  let logFile: FileHandle | null = null;
  let pendingAppends: PendingAppend[] = [];
  let drainInProgress: Promise<void> | null = null;
  let writeError: unknown = null;

  const openLogFile = async (): Promise<void> => {
    await logFile?.close();
    logFile = await fileSystem.open(join(folder, logFileName(generation)), 'a');
  };

  const startNextGeneration = async (encoded: Buffer): Promise<void> => {
    const nextGeneration = generation + 1;
    // The state behind the snapshot may have changed since submission; the encoded copy has not.
    const [record] = decodeBody(encoded) as readonly [SnapshotRecord];
    const firstBatch = encodeBatch([encodeBody(initialLogRecords(record))]);
    await writeAndSyncFile(fileSystem, join(folder, logFileName(nextGeneration)), firstBatch);
    const content: SnapshotFileContent = {
      incarnation,
      generation: nextGeneration,
      snapshot: record.snapshot,
    };
    const snapshotBatch = encodeBatch([encodeBody(content)]);
    await syncFolder(fileSystem, folder);
    await replaceFileAtomically(fileSystem, join(folder, SNAPSHOT_FILE), snapshotBatch);
    generation = nextGeneration;
    await openLogFile();
    await removeStaleLogs(folder, generation);
  };

  const appendBatch = async (payloads: readonly Uint8Array[]): Promise<void> => {
    if (payloads.length === 0) return;
    if (logFile === null) throw new Error('cannot append records before the first snapshot');
    await logFile.appendFile(encodeBatch(payloads));
    await logFile.datasync();
  };

  const processAppends = async (appends: readonly PendingAppend[]): Promise<void> => {
    let payloads: Uint8Array[] = [];
    for (const { records, encoded } of appends) {
      const [first] = records;
      if (first?.kind === 'snapshot') {
        await appendBatch(payloads);
        payloads = [];
        await startNextGeneration(encoded);
      } else payloads.push(encoded);
    }
    await appendBatch(payloads);
  };

  const drainQueue = async (): Promise<void> => {
    while (pendingAppends.length > 0) {
      const appends = pendingAppends;
      pendingAppends = [];
      try {
        if (writeError !== null) throw writeError as Error;
        await processAppends(appends);
        for (const append of appends) append.resolve();
      } catch (error) {
        // The content of the file is unknown now; later appends fail until the storage is reopened.
        writeError = error;
        for (const append of appends) append.reject(error);
      }
    }
    drainInProgress = null;
  };

  if (storedFolder === null) await probeWrite(fileSystem, folder);
  else {
    await rewriteFiles(fileSystem, folder, storedFolder);
    await removeStaleLogs(folder, generation);
    await openLogFile();
    if (storedFolder.hasIncompleteTail) onTailCut(storedFolder.validLog.length);
  }

  return {
    incarnation,
    storedReplica,
    durable: true,
    append: async (records) =>
      new Promise((resolve, reject) => {
        pendingAppends.push({ records, encoded: encodeBody(records), resolve, reject });
        drainInProgress ??= drainQueue();
      }),
    [Symbol.asyncDispose]: async () => {
      await drainInProgress;
      await logFile?.close();
    },
  };
}
