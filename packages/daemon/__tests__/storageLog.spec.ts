import assert from 'node:assert/strict';
import { appendFile, mkdtemp, readFile, readdir, rm, stat, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import type { LogEntry } from '@burdockrail/agreement/logEntry.js';
import type { StoredRecord } from '@burdockrail/agreement/replicaEffect.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { GroupStorage } from '../src/groupStorage.js';
import { openStorageLog } from '../src/storageLog.js';

const membership = { voters: [{ id: 's#1', durable: true }], learners: [] };

function logEntry(index: number, term: number): LogEntry {
  return { index, term, payload: { kind: 'command', command: `command ${index}` } };
}

function snapshotRecord(index: number, entries: readonly LogEntry[]): StoredRecord {
  const snapshot = { groupId: 'g', index, term: 1, membership, data: `state ${index}` };
  return { kind: 'snapshot', snapshot, entries, term: 1, votedFor: 's#1' };
}

async function withTemporaryFolder(run: (folder: string) => Promise<void>): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), 'storage-'));
  try {
    await run(folder);
  } finally {
    await rm(folder, { recursive: true });
  }
}

async function openStorage(folder: string, truncatedLengths: number[] = []): Promise<GroupStorage> {
  return openStorageLog({
    folder,
    freshIncarnation: '1',
    onTailCut: (validBytes) => truncatedLengths.push(validBytes),
  });
}

interface SampleLog {
  /** Path of the log file. */
  readonly path: string;
  /** Offset of the last batch, in bytes. */
  readonly lastBatchOffset: number;
}

/** Writes a snapshot and three batches of one entry each. */
async function writeSampleLog(folder: string): Promise<SampleLog> {
  const path = join(folder, 'log-1');
  const storage = await openStorage(folder);
  await storage.append([snapshotRecord(1, [])]);
  let lastBatchOffset = 0;
  for (const index of [2, 3, 4]) {
    lastBatchOffset = (await stat(path)).size;
    await storage.append([{ kind: 'entries', entries: [logEntry(index, 1)] }]);
  }
  await storage[Symbol.asyncDispose]();
  return { path, lastBatchOffset };
}

function isCorrupt(error: unknown): boolean {
  return error instanceof ResultError && error.code === ResultCode.StorageCorrupt;
}

describe('replica storage on disk', () => {
  it('restores votes, entries and overwritten entries after reopening', async () => {
    await withTemporaryFolder(async (folder) => {
      await writeSampleLog(folder);
      const storage = await openStorage(folder);
      await Promise.all([
        storage.append([{ kind: 'vote', term: 2, votedFor: null }]),
        storage.append([{ kind: 'entries', entries: [logEntry(3, 2)] }]),
        storage.append([{ kind: 'committed', index: 2 }]),
      ]);
      await storage[Symbol.asyncDispose]();
      await using reopened = await openStorage(folder);
      assert.deepEqual(reopened.storedReplica?.entries, [logEntry(2, 1), logEntry(3, 2)]);
      assert.deepEqual([reopened.storedReplica.term, reopened.storedReplica.commitIndex], [2, 2]);
    });
  });

  it('keeps the stored incarnation and adopts the given one in an empty folder', async () => {
    await withTemporaryFolder(async (folder) => {
      await writeSampleLog(folder);
      const options = { folder, freshIncarnation: '2', onTailCut: () => undefined };
      await using kept = await openStorageLog(options);
      assert.equal(kept.incarnation, '1');
    });
    await withTemporaryFolder(async (folder) => {
      const options = { folder, freshIncarnation: '2', onTailCut: () => undefined };
      await using empty = await openStorageLog(options);
      assert.deepEqual([empty.incarnation, empty.storedReplica], ['2', null]);
    });
  });

  it('replaces the log with a snapshot and the entries after it', async () => {
    await withTemporaryFolder(async (folder) => {
      await writeSampleLog(folder);
      const storage = await openStorage(folder);
      const state = { value: 'before' };
      const record = snapshotRecord(3, [logEntry(4, 1)]);
      const appended = storage.append([record]);
      state.value = 'after';
      await appended;
      await storage.append([{ kind: 'entries', entries: [logEntry(5, 1)] }]);
      await storage[Symbol.asyncDispose]();
      assert.equal((await readdir(folder)).length, 2);
      await using reopened = await openStorage(folder);
      assert.equal(reopened.storedReplica?.snapshot.data, 'state 3');
      assert.deepEqual(reopened.storedReplica.entries, [logEntry(4, 1), logEntry(5, 1)]);
    });
  });

  it('truncates an incomplete batch and appends after the last complete one', async () => {
    await withTemporaryFolder(async (folder) => {
      const { path } = await writeSampleLog(folder);
      const original = await readFile(path);
      const truncatedLengths: number[] = [];
      await writeFile(path, original.subarray(0, original.length - 5));
      const storage = await openStorage(folder, truncatedLengths);
      assert.deepEqual(storage.storedReplica?.entries, [logEntry(2, 1), logEntry(3, 1)]);
      assert.equal(truncatedLengths.length, 1);
      await storage.append([{ kind: 'entries', entries: [logEntry(4, 3)] }]);
      await storage[Symbol.asyncDispose]();
      await appendFile(path, Buffer.alloc(40));
      await using reopened = await openStorage(folder, truncatedLengths);
      assert.deepEqual(reopened.storedReplica?.entries.at(-1), logEntry(4, 3));
      assert.equal(truncatedLengths.length, 2);
    });
  });

  it('rejects a log if any byte before the last batch was changed', async () => {
    await withTemporaryFolder(async (folder) => {
      const { path, lastBatchOffset } = await writeSampleLog(folder);
      const original = await readFile(path);
      for (let offset = 0; offset < lastBatchOffset; offset += 1) {
        const damaged = Buffer.from(original);
        damaged.writeUInt8(damaged.readUInt8(offset) ^ 0x10, offset);
        await writeFile(path, damaged);
        await assert.rejects(openStorage(folder), isCorrupt, `byte ${offset}`);
      }
    });
  });

  it('rejects a damaged snapshot file and a missing log file', async () => {
    await withTemporaryFolder(async (folder) => {
      const { path } = await writeSampleLog(folder);
      const snapshotPath = join(folder, 'snapshot');
      const original = await readFile(snapshotPath);
      await writeFile(snapshotPath, original.subarray(0, original.length - 1));
      await assert.rejects(openStorage(folder), isCorrupt);
      await writeFile(snapshotPath, original);
      await rm(path);
      await assert.rejects(openStorage(folder), isCorrupt);
    });
  });
});
