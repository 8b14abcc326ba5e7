import { join } from 'node:path';
import type { GroupSnapshot } from '@burdockrail/agreement/logEntry.js';
import type { StoredRecord, StoredReplica } from '@burdockrail/agreement/replicaEffect.js';
import { applyStoredRecord } from '@burdockrail/agreement/storedReplica.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { decodeBody } from '@burdockrail/transport/frameCodec.js';
import { decodeBatches } from './storageBatch.js';
import { readFileIfExists } from './storageFiles.js';

/** Name of the file that contains the latest snapshot. */
export const SNAPSHOT_FILE = 'snapshot';

/** Prefix of the names of log files. */
export const LOG_FILE_PREFIX = 'log-';

/** Content of the snapshot file; the generation determines the log file in use. */
export interface SnapshotFileContent {
  readonly incarnation: string;
  readonly generation: number;
  readonly snapshot: GroupSnapshot;
}

/** Name of the log file of a generation. */
export function logFileName(generation: number): string {
  return `${LOG_FILE_PREFIX}${generation}`;
}

function decodeSnapshotFile(file: Buffer): SnapshotFileContent {
  const { payloads, validBytes } = decodeBatches(file);
  const [payload] = payloads;
  if (payload === undefined || validBytes !== file.length) {
    throw new ResultError(
      ResultCode.StorageCorrupt,
      'the snapshot file is truncated or fails its checksum',
    );
  }
  return decodeBody(Buffer.from(payload)) as SnapshotFileContent;
}

/** Stored state of one replica, as read from its folder. */
export interface StoredFolder {
  readonly incarnation: string;
  readonly generation: number;
  readonly stored: StoredReplica;
  /** Content of the snapshot file. */
  readonly snapshotFile: Uint8Array;
  /** Valid content of the log file. */
  readonly validLog: Uint8Array;
  /** Whether the log file has an incomplete batch after its valid content. */
  readonly hasIncompleteTail: boolean;
}

/**
 * Reads a replica's folder without changing it; resolves to `null` if it has no snapshot file.
 *
 * @throws {@link ResultError} with `StorageCorrupt` if synced data fails its checksum or the log is
 * missing.
 */
export async function readStorageFolder(folder: string): Promise<StoredFolder | null> {
  const file = await readFileIfExists(join(folder, SNAPSHOT_FILE));
  if (file === null) return null;
  const { incarnation, generation, snapshot } = decodeSnapshotFile(file);
  const log = await readFileIfExists(join(folder, logFileName(generation)));
  if (log === null) throw new ResultError(ResultCode.StorageCorrupt, 'the log file is missing');
  const { payloads, validBytes } = decodeBatches(log);
  let stored: StoredReplica = { snapshot, entries: [], term: 0, votedFor: null, commitIndex: 0 };
  for (const payload of payloads) {
    const records = decodeBody(Buffer.from(payload)) as readonly StoredRecord[];
    for (const record of records) stored = applyStoredRecord(stored, record);
  }
  return {
    incarnation,
    generation,
    stored,
    snapshotFile: file,
    validLog: log.subarray(0, validBytes),
    hasIncompleteTail: validBytes < log.length,
  };
}
