import { open, readdir, rename, rm, writeFile, type FileHandle } from 'node:fs/promises';
import { basename, dirname, join } from 'node:path';
import type { StorageFileSystem } from '../src/storageFiles.js';

/** What a disk does with a write or sync. */
export type DiskFault =
  /** Writes half of the bytes and then refuses, as a disk that becomes full. */
  | 'full'
  /** Refuses the sync and forgets the written pages; a later sync succeeds without them. */
  | 'failedSync'
  /** The process ends before the sync has begun. */
  | 'endBeforeSync'
  /** Refuses to sync a folder after a rename in it. */
  | 'failedRenameSync';

/** A disk on which writes and syncs fail, and whose power can be lost. */
export interface FaultyDisk {
  readonly fileSystem: StorageFileSystem;
  fault: DiskFault | null;
  /** Leaves in a folder only what its syncs have made durable; removed names stay removed. */
  losePower(folder: string): Promise<void>;
}

interface FileState {
  cached: Buffer;
  durable: Buffer;
  /** Offsets from and to which the bytes are not synced. */
  unsynced: readonly [number, number] | null;
  /** Parts that no sync writes any more. */
  lost: readonly (readonly [number, number])[];
}

class DiskError extends Error {
  readonly code: string;

  constructor(code: string) {
    super(`${code}: refused by the test's disk`);
    this.code = code;
  }
}

/** Creates a disk without faults. */
export function createFaultyDisk(): FaultyDisk {
  const files = new Map<string, FileState>();
  const durableNames = new Map<string, ReadonlyMap<string, FileState>>();

  let hasRenamed = false;

  const append = (file: FileState, bytes: Uint8Array): void => {
    const start = file.unsynced?.[0] ?? file.cached.length;
    file.cached = Buffer.concat([file.cached, bytes]);
    file.unsynced = [start, file.cached.length];
  };

  const sync = (file: FileState): void => {
    if (disk.fault === 'endBeforeSync') throw new DiskError('ECANCELED');
    if (disk.fault === 'failedSync') {
      if (file.unsynced !== null) file.lost = [...file.lost, file.unsynced];
      file.unsynced = null;
      throw new DiskError('EIO');
    }
    file.durable = Buffer.from(file.cached);
    for (const [start, end] of file.lost) file.durable.fill(0, start, end);
    file.unsynced = null;
  };

  const syncNames = (folder: string): void => {
    if (disk.fault === 'failedRenameSync' && hasRenamed) throw new DiskError('EIO');
    const names = [...files].filter(([path]) => dirname(path) === folder);
    hasRenamed = false;
    durableNames.set(folder, new Map(names.map(([path, file]) => [basename(path), file])));
  };

  const wrap = (handle: FileHandle, path: string, file: FileState | null): FileHandle => {
    const write = async (bytes: Uint8Array): Promise<void> => {
      const isFull = disk.fault === 'full';
      const written = isFull ? bytes.subarray(0, bytes.length / 2) : bytes;
      if (file !== null) append(file, written);
      await handle.appendFile(written);
      if (isFull) throw new DiskError('ENOSPC');
    };
    const syncFile = async (): Promise<void> => {
      if (file === null) syncNames(path);
      else sync(file);
      return Promise.resolve();
    };
    return {
      writeFile: write,
      appendFile: write,
      sync: syncFile,
      datasync: syncFile,
      close: async () => handle.close(),
    } as unknown as FileHandle;
  };

  const disk: FaultyDisk = {
    fault: null,
    fileSystem: {
      open: async (path, flags) => {
        const name = String(path);
        const handle = await open(path, flags);
        if (flags === 'r') return wrap(handle, name, null);
        const file = files.get(name) ?? {
          cached: Buffer.alloc(0),
          durable: Buffer.alloc(0),
          unsynced: null,
          lost: [],
        };
        if (flags === 'w')
          Object.assign(file, { cached: Buffer.alloc(0), unsynced: null, lost: [] });
        files.set(name, file);
        return wrap(handle, name, file);
      },
      rename: async (from, to) => {
        await rename(from, to);
        hasRenamed = true;
        const file = files.get(String(from));
        files.delete(String(from));
        if (file !== undefined) files.set(String(to), file);
      },
    },
    losePower: async (folder) => {
      const present = new Set(await readdir(folder));
      const durable = durableNames.get(folder) ?? new Map<string, FileState>();
      for (const name of present) await rm(join(folder, name));
      files.clear();
      for (const [name, file] of durable) {
        if (!present.has(name)) continue;
        await writeFile(join(folder, name), file.durable);
        Object.assign(file, { cached: Buffer.from(file.durable), unsynced: null, lost: [] });
        files.set(join(folder, name), file);
      }
    },
  };
  return disk;
}
