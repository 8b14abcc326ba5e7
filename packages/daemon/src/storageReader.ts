import { readFile } from 'node:fs/promises';
import { join } from 'node:path';
import type { GroupSnapshot } from '@burdockrail/agreement/logEntry.js';
import type { StoredRecord, StoredReplica } from '@burdockrail/agreement/replicaEffect.js';
import { applyStoredRecord } from '@burdockrail/agreement/storedReplica.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { decodeBody } from '@burdockrail/transport/frameCodec.js';
import { readBatches } from './storageBatch.js';

/** Name of the file with the latest snapshot. */
export const SNAPSHOT_FILE = 'snapshot';

/** How the names of log files begin. */
export const LOG_PREFIX = 'log-';

/** Content of the snapshot file; it decides which log file counts. */
export interface SnapshotFile {
  readonly incarnation: string;
  readonly generation: number;
  readonly snapshot: GroupSnapshot;
}

/** Name of the log file of a generation. */
export function logName(generation: number): string {
  return `${LOG_PREFIX}${generation}`;
}

async function readIfPresent(path: string): Promise<Buffer | null> {
  try {
    return await readFile(path);
  } catch (error) {
    if (error instanceof Error && 'code' in error && error.code === 'ENOENT') return null;
    throw error;
  }
}

function decodeSnapshot(file: Buffer): SnapshotFile {
  const { parts, soundBytes } = readBatches(file);
  const [part] = parts;
  if (part === undefined || soundBytes !== file.length) {
    throw new ResultError(ResultCode.StorageCorrupt, 'the snapshot fails its checksum');
  }
  return decodeBody(Buffer.from(part)) as SnapshotFile;
}

/** What a folder holds for one group. */
export interface StoredFolder {
  readonly incarnation: string;
  readonly generation: number;
  readonly stored: StoredReplica;
  /** Length to which the log has to be cut; `null` if it is whole. */
  readonly cutTo: number | null;
}

/**
 * Reads a replica's folder without changing it; `null` for a blank one.
 *
 * @remarks
 * Rejects with `StorageCorrupt` when synced data fails its checksum.
 */
export async function readStorageFolder(folder: string): Promise<StoredFolder | null> {
  const file = await readIfPresent(join(folder, SNAPSHOT_FILE));
  if (file === null) return null;
  const { incarnation, generation, snapshot } = decodeSnapshot(file);
  const log = await readIfPresent(join(folder, logName(generation)));
  if (log === null) throw new ResultError(ResultCode.StorageCorrupt, 'the log is missing');
  const { parts, soundBytes } = readBatches(log);
  let stored: StoredReplica = { snapshot, entries: [], term: 0, votedFor: null, commitIndex: 0 };
  for (const part of parts) {
    const records = decodeBody(Buffer.from(part)) as readonly StoredRecord[];
    for (const record of records) stored = applyStoredRecord(stored, record);
  }
  const cutTo = soundBytes === log.length ? null : soundBytes;
  return { incarnation, generation, stored, cutTo };
}
