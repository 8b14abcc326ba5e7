import assert from 'node:assert/strict';
import { appendFile, mkdtemp, readFile, readdir, rm, stat, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import type { LogEntry } from '@burdockrail/agreement/logEntry.js';
import type { StoredRecord } from '@burdockrail/agreement/replicaEffect.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { GroupStorage } from '../src/storageGroup.js';
import { openStorageLog } from '../src/storageLog.js';

const membership = { voters: [{ id: 's#1', durable: true }], learners: [] };

function entry(index: number, term: number): LogEntry {
  return { index, term, payload: { kind: 'command', command: `command ${index}` } };
}

function snapshotRecord(index: number, entries: readonly LogEntry[]): StoredRecord {
  const snapshot = { groupId: 'g', index, term: 1, membership, data: `state ${index}` };
  return { kind: 'snapshot', snapshot, entries, term: 1, votedFor: 's#1' };
}

async function withFolder(use: (folder: string) => Promise<void>): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), 'storage-'));
  try {
    await use(folder);
  } finally {
    await rm(folder, { recursive: true });
  }
}

async function openAt(folder: string, cuts: number[] = []): Promise<GroupStorage> {
  return openStorageLog({
    folder,
    freshIncarnation: '1',
    onTailCut: (soundBytes) => cuts.push(soundBytes),
  });
}

interface Sample {
  /** Path of the log. */
  readonly path: string;
  /** Offset of the last batch, in bytes. */
  readonly lastBatch: number;
}

/** Writes a snapshot and three batches of one entry each. */
async function writeSample(folder: string): Promise<Sample> {
  const path = join(folder, 'log-1');
  const storage = await openAt(folder);
  await storage.append([snapshotRecord(1, [])]);
  let lastBatch = 0;
  for (const index of [2, 3, 4]) {
    lastBatch = (await stat(path)).size;
    await storage.append([{ kind: 'entries', entries: [entry(index, 1)] }]);
  }
  await storage[Symbol.asyncDispose]();
  return { path, lastBatch };
}

function isCorrupt(error: unknown): boolean {
  return error instanceof ResultError && error.code === ResultCode.StorageCorrupt;
}

describe('the storage of a replica on disk', () => {
  it('gives back votes, entries and their replacements after it was opened again', async () => {
    await withFolder(async (folder) => {
      await writeSample(folder);
      const storage = await openAt(folder);
      await Promise.all([
        storage.append([{ kind: 'vote', term: 2, votedFor: null }]),
        storage.append([{ kind: 'entries', entries: [entry(3, 2)] }]),
        storage.append([{ kind: 'committed', index: 2 }]),
      ]);
      await storage[Symbol.asyncDispose]();
      await using again = await openAt(folder);
      assert.deepEqual(again.stored?.entries, [entry(2, 1), entry(3, 2)]);
      assert.deepEqual([again.stored.term, again.stored.commitIndex], [2, 2]);
    });
  });

  it('keeps its incarnation, and a blank folder takes the one offered', async () => {
    await withFolder(async (folder) => {
      await writeSample(folder);
      const options = { folder, freshIncarnation: '2', onTailCut: () => undefined };
      await using kept = await openStorageLog(options);
      assert.equal(kept.incarnation, '1');
    });
    await withFolder(async (folder) => {
      const options = { folder, freshIncarnation: '2', onTailCut: () => undefined };
      await using blank = await openStorageLog(options);
      assert.deepEqual([blank.incarnation, blank.stored], ['2', null]);
    });
  });

  it('replaces the log by a snapshot and the entries after it', async () => {
    await withFolder(async (folder) => {
      await writeSample(folder);
      const storage = await openAt(folder);
      const state = { value: 'before' };
      const record = snapshotRecord(3, [entry(4, 1)]);
      const written = storage.append([record]);
      state.value = 'after';
      await written;
      await storage.append([{ kind: 'entries', entries: [entry(5, 1)] }]);
      await storage[Symbol.asyncDispose]();
      assert.equal((await readdir(folder)).length, 2);
      await using again = await openAt(folder);
      assert.equal(again.stored?.snapshot.data, 'state 3');
      assert.deepEqual(again.stored.entries, [entry(4, 1), entry(5, 1)]);
    });
  });

  it('cuts off a torn batch at any length and goes on after the last whole one', async () => {
    await withFolder(async (folder) => {
      const { path } = await writeSample(folder);
      const whole = await readFile(path);
      const cuts: number[] = [];
      await writeFile(path, whole.subarray(0, whole.length - 5));
      const storage = await openAt(folder, cuts);
      assert.deepEqual(storage.stored?.entries, [entry(2, 1), entry(3, 1)]);
      assert.equal(cuts.length, 1);
      await storage.append([{ kind: 'entries', entries: [entry(4, 3)] }]);
      await storage[Symbol.asyncDispose]();
      await appendFile(path, Buffer.alloc(40));
      await using again = await openAt(folder, cuts);
      assert.deepEqual(again.stored?.entries.at(-1), entry(4, 3));
      assert.equal(cuts.length, 2);
    });
  });

  it('refuses a log in which any byte before the last batch was changed', async () => {
    await withFolder(async (folder) => {
      const { path, lastBatch } = await writeSample(folder);
      const whole = await readFile(path);
      for (let place = 0; place < lastBatch; place += 1) {
        const damaged = Buffer.from(whole);
        damaged.writeUInt8(damaged.readUInt8(place) ^ 0x10, place);
        await writeFile(path, damaged);
        await assert.rejects(openAt(folder), isCorrupt, `byte ${place}`);
      }
    });
  });

  it('refuses a damaged snapshot and a missing log', async () => {
    await withFolder(async (folder) => {
      const { path } = await writeSample(folder);
      const snapshot = join(folder, 'snapshot');
      const whole = await readFile(snapshot);
      await writeFile(snapshot, whole.subarray(0, whole.length - 1));
      await assert.rejects(openAt(folder), isCorrupt);
      await writeFile(snapshot, whole);
      await rm(path);
      await assert.rejects(openAt(folder), isCorrupt);
    });
  });
});
