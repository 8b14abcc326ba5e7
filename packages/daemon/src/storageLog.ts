import { mkdir, open, readdir, rm, type FileHandle } from 'node:fs/promises';
import { join } from 'node:path';
import type { StoredRecord } from '@burdockrail/agreement/replicaEffect.js';
import { decodeBody, encodeBody } from '@burdockrail/transport/frameCodec.js';
import { encodeBatch } from './storageBatch.js';
import { replaceFileAtomically, syncFolder, writeAndSyncFile } from './storageFiles.js';
import type { GroupStorage } from './groupStorage.js';
import {
  LOG_FILE_PREFIX,
  logFileName,
  readStorageFolder,
  SNAPSHOT_FILE,
  type SnapshotFileContent,
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

/** Options of {@link openStorageLog}. */
export interface StorageLogOptions {
  readonly folder: string;
  /** Incarnation of the replica if the folder is empty. */
  readonly freshIncarnation: string;
  /** Called after an unsynced batch was truncated, with the length of the valid log in bytes. */
  readonly onTailCut: (validBytes: number) => void;
}

/**
 * Opens a replica's storage on disk.
 *
 * @remarks
 * The folder contains a snapshot file and one log file; the snapshot names its log by a generation
 * number. Each new snapshot starts a new log: the log is written first, then a rename replaces the
 * snapshot file.
 *
 * @throws `ResultError` with `StorageCorrupt` if synced data fails its checksum or the log is
 * missing.
 */
export async function openStorageLog(options: StorageLogOptions): Promise<GroupStorage> {
  const { folder, freshIncarnation, onTailCut } = options;
  await mkdir(folder, { recursive: true });
  const storedFolder = await readStorageFolder(folder);
  const incarnation = storedFolder?.incarnation ?? freshIncarnation;
  let generation = storedFolder?.generation ?? 0;
  let logFile: FileHandle | null = null;
  let pendingAppends: PendingAppend[] = [];
  let drainInProgress: Promise<void> | null = null;
  let writeError: unknown = null;

  const openLogFile = async (): Promise<void> => {
    await logFile?.close();
    logFile = await open(join(folder, logFileName(generation)), 'a');
  };

  const startNextGeneration = async (encoded: Buffer): Promise<void> => {
    const nextGeneration = generation + 1;
    // The state behind the snapshot may have changed since submission; the encoded copy has not.
    const [record] = decodeBody(encoded) as readonly [SnapshotRecord];
    const firstBatch = encodeBatch([encodeBody(initialLogRecords(record))]);
    await writeAndSyncFile(join(folder, logFileName(nextGeneration)), firstBatch);
    const content: SnapshotFileContent = {
      incarnation,
      generation: nextGeneration,
      snapshot: record.snapshot,
    };
    const snapshotBatch = encodeBatch([encodeBody(content)]);
    await syncFolder(folder);
    await replaceFileAtomically(join(folder, SNAPSHOT_FILE), snapshotBatch);
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
        // The content of the file is unknown after a failed sync, so all later appends fail too.
        writeError = error;
        for (const append of appends) append.reject(error);
      }
    }
    drainInProgress = null;
  };

  if (storedFolder !== null) {
    await removeStaleLogs(folder, generation);
    await openLogFile();
  }
  const cutTo = storedFolder?.cutTo ?? null;
  if (cutTo !== null) {
    await (logFile as FileHandle | null)?.truncate(cutTo);
    await (logFile as FileHandle | null)?.sync();
    onTailCut(cutTo);
  }

  return {
    incarnation,
    storedReplica: storedFolder?.stored ?? null,
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
