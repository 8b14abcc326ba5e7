import { mkdir, open, readdir, rm, type FileHandle } from 'node:fs/promises';
import { join } from 'node:path';
import type { StoredRecord } from '@burdockrail/agreement/replicaEffect.js';
import { decodeBody, encodeBody } from '@burdockrail/transport/frameCodec.js';
import { encodeBatch } from './storageBatch.js';
import { replaceFile, syncFolder, writeSynced } from './storageFiles.js';
import type { GroupStorage } from './storageGroup.js';
import {
  LOG_PREFIX,
  logName,
  readStorageFolder,
  SNAPSHOT_FILE,
  type SnapshotFile,
} from './storageReader.js';

type SnapshotRecord = Extract<StoredRecord, { readonly kind: 'snapshot' }>;

interface PendingAppend {
  readonly records: readonly StoredRecord[];
  /** Encoded at once, because the state that a snapshot came from changes afterwards. */
  readonly encoded: Buffer;
  readonly resolve: () => void;
  readonly reject: (error: unknown) => void;
}

async function removeOtherLogs(folder: string, generation: number): Promise<void> {
  const names = await readdir(folder);
  const stale = names.filter((name) => name.startsWith(LOG_PREFIX) && name !== logName(generation));
  for (const name of stale) await rm(join(folder, name));
}

/** Records with which the log that follows a snapshot begins. */
function headOf(record: SnapshotRecord): readonly StoredRecord[] {
  const { term, votedFor, entries } = record;
  return [
    { kind: 'vote', term, votedFor },
    { kind: 'entries', entries },
  ];
}

/** Options of {@link openStorageLog}. */
export interface StorageLogOptions {
  readonly folder: string;
  /** Incarnation of the replica if the folder is blank. */
  readonly freshIncarnation: string;
  /** Called when an unsynced batch was cut off, with the length of the sound part in bytes. */
  readonly onTailCut: (soundBytes: number) => void;
}

/**
 * Opens a replica's storage on disk.
 *
 * @remarks
 * The folder has a snapshot file and the log file that it names by its generation. A new snapshot
 * comes with a new log: the log is written first, then the snapshot takes the place of the old
 * one by a rename. Rejects with `StorageCorrupt` when synced data fails its checksum.
 */
export async function openStorageLog(options: StorageLogOptions): Promise<GroupStorage> {
  const { folder, freshIncarnation, onTailCut } = options;
  await mkdir(folder, { recursive: true });
  const opened = await readStorageFolder(folder);
  const incarnation = opened?.incarnation ?? freshIncarnation;
  let generation = opened?.generation ?? 0;
  let log: FileHandle | null = null;
  let queue: PendingAppend[] = [];
  let running: Promise<void> | null = null;
  let failure: unknown = null;

  const openLog = async (): Promise<void> => {
    await log?.close();
    log = await open(join(folder, logName(generation)), 'a');
  };

  const rotate = async (encoded: Buffer): Promise<void> => {
    const next = generation + 1;
    // The state that the snapshot was taken from may have changed since; the copy has not.
    const [copy] = decodeBody(encoded) as readonly [SnapshotRecord];
    const head = encodeBatch([encodeBody(headOf(copy))]);
    await writeSynced(join(folder, logName(next)), head);
    const content: SnapshotFile = { incarnation, generation: next, snapshot: copy.snapshot };
    const file = encodeBatch([encodeBody(content)]);
    await syncFolder(folder);
    await replaceFile(join(folder, SNAPSHOT_FILE), file);
    generation = next;
    await openLog();
    await removeOtherLogs(folder, generation);
  };

  const writeBatch = async (parts: readonly Uint8Array[]): Promise<void> => {
    if (parts.length === 0) return;
    if (log === null) throw new Error('records before the first snapshot');
    await log.appendFile(encodeBatch(parts));
    await log.datasync();
  };

  const writeAll = async (appends: readonly PendingAppend[]): Promise<void> => {
    let parts: Uint8Array[] = [];
    for (const { records, encoded } of appends) {
      const [first] = records;
      if (first?.kind === 'snapshot') {
        await writeBatch(parts);
        parts = [];
        await rotate(encoded);
      } else parts.push(encoded);
    }
    await writeBatch(parts);
  };

  const drain = async (): Promise<void> => {
    while (queue.length > 0) {
      const appends = queue;
      queue = [];
      try {
        if (failure !== null) throw failure as Error;
        await writeAll(appends);
        for (const append of appends) append.resolve();
      } catch (error) {
        // A failed sync leaves unknown content behind, so nothing more is stored.
        failure = error;
        for (const append of appends) append.reject(error);
      }
    }
    running = null;
  };

  if (opened !== null) {
    await removeOtherLogs(folder, generation);
    await openLog();
  }
  const cutTo = opened?.cutTo ?? null;
  if (cutTo !== null) {
    await (log as FileHandle | null)?.truncate(cutTo);
    await (log as FileHandle | null)?.sync();
    onTailCut(cutTo);
  }

  return {
    incarnation,
    stored: opened?.stored ?? null,
    durable: true,
    append: async (records) =>
      new Promise((resolve, reject) => {
        queue.push({ records, encoded: encodeBody(records), resolve, reject });
        running ??= drain();
      }),
    [Symbol.asyncDispose]: async () => {
      await running;
      await log?.close();
    },
  };
}
