import assert from 'node:assert/strict';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, it } from 'node:test';
import type { LogEntry } from '@burdockrail/agreement/logEntry.js';
import type { StoredRecord, StoredReplica } from '@burdockrail/agreement/replicaEffect.js';
import type { GroupStorage } from '../src/groupStorage.js';
import { openStorageLog } from '../src/storageLog.js';
import { createFaultyDisk, type DiskFault, type FaultyDisk } from './faultyDisk.js';

const membership = { voters: [{ id: 's#1', durable: true }], learners: [] };
const vote: StoredRecord = { kind: 'vote', term: 5, votedFor: 's#1' };

function logEntry(index: number): LogEntry {
  return { index, term: 1, payload: { kind: 'command', command: `command ${index}` } };
}

function entryRecord(index: number): StoredRecord {
  return { kind: 'entries', entries: [logEntry(index)] };
}

function snapshotRecord(index: number): StoredRecord {
  const snapshot = { groupId: 'g', index, term: 1, membership, data: `state ${index}` };
  return { kind: 'snapshot', snapshot, entries: [], term: 1, votedFor: null };
}

describe('replica storage on a disk that fails', () => {
  let folder: string;
  let disk: FaultyDisk;

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), 'storage-'));
    disk = createFaultyDisk();
  });
  afterEach(async () => {
    await rm(folder, { recursive: true });
  });

  const openStorage = async (): Promise<GroupStorage> =>
    openStorageLog({
      folder,
      freshIncarnation: '1',
      onTailCut: () => undefined,
      fileSystem: disk.fileSystem,
    });

  /** Stores two entries, then fails to store a record, and closes the storage. */
  const failToStore = async (fault: DiskFault, record: StoredRecord): Promise<void> => {
    const storage = await openStorage();
    await storage.append([snapshotRecord(1)]);
    await storage.append([entryRecord(2)]);
    await storage.append([entryRecord(3)]);
    disk.fault = fault;
    await assert.rejects(storage.append([record]));
    await assert.rejects(storage.append([entryRecord(9)]));
    await storage[Symbol.asyncDispose]();
    disk.fault = null;
  };

  const readStored = async (): Promise<StoredReplica | null> => {
    await using storage = await openStorage();
    return storage.storedReplica;
  };

  it('keeps what was stored and takes records again after the disk was full, any number of times', async () => {
    await failToStore('full', entryRecord(4));
    for (let index = 4; index < 8; index += 1) {
      await using storage = await openStorage();
      assert.deepEqual(storage.storedReplica?.entries.at(-1), logEntry(index - 1));
      await storage.append([entryRecord(index)]);
      disk.fault = 'full';
      await assert.rejects(storage.append([entryRecord(index + 1)]));
      disk.fault = null;
    }
    await disk.losePower(folder);
    const stored = await readStored();
    assert.deepEqual(stored?.entries, [2, 3, 4, 5, 6, 7].map(logEntry));
  });

  it('is not opened while the disk is full, neither an empty one nor one with records', async () => {
    disk.fault = 'full';
    await assert.rejects(openStorage(), { code: 'ENOSPC' });
    disk.fault = null;
    await failToStore('full', entryRecord(4));
    disk.fault = 'full';
    await assert.rejects(openStorage(), { code: 'ENOSPC' });
    disk.fault = null;
    assert.deepEqual((await readStored())?.entries, [2, 3].map(logEntry));
  });

  const lossyRecords = new Map<string, readonly [DiskFault, StoredRecord]>([
    ['a vote whose sync failed', ['failedSync', vote]],
    ['a vote whose sync had not begun when the process ended', ['endBeforeSync', vote]],
    ['a snapshot whose sync failed', ['failedSync', snapshotRecord(3)]],
    ['a snapshot whose rename was not synced', ['failedRenameSync', snapshotRecord(3)]],
  ]);
  for (const [name, [fault, record]] of lossyRecords) {
    it(`does not show ${name} and lose it with the power later`, async () => {
      await failToStore(fault, record);
      const shown = await readStored();
      await disk.losePower(folder);
      assert.deepEqual(await readStored(), shown);
      await using storage = await openStorage();
      await storage.append([entryRecord(4)]);
      await disk.losePower(folder);
      assert.deepEqual((await readStored())?.entries.at(-1), logEntry(4));
    });
  }
});
