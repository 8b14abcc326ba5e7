import { mkdir } from 'node:fs/promises';
import { dirname } from 'node:path';
import { ResultError } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { decodeBatches, encodeBatch } from '@burdockrail/daemon/storageBatch.js';
import {
  readFileIfExists,
  replaceFileAtomically,
  type StorageFileSystem,
} from '@burdockrail/daemon/storageFiles.js';
import { decodeBody, encodeBody } from '@burdockrail/transport/frameCodec.js';

/** A small file that is replaced as a whole at each write. */
export interface WholeFileStore extends AsyncDisposable {
  /** What was on disk when the store was opened; `null` if nothing could be read. */
  readonly stored: unknown;
  /**
   * Writes the present content; resolves once it is synced. Calls that come during a write share the
   * next one.
   *
   * @throws the error of the file system if the disk refuses the write.
   */
  write(): Promise<void>;
}

/** Options of {@link openWholeFileStore}. */
export interface WholeFileStoreOptions {
  readonly path: string;
  readonly fileSystem: StorageFileSystem;
  /** Returns what to write. */
  readonly content: () => unknown;
  /** Called if the file exists but cannot be read. */
  readonly onUnreadable: (error: unknown) => void;
  /** Called at the first of several writes that the disk refuses. */
  readonly onRefused: (error: unknown) => void;
}

interface PendingWrite {
  readonly resolve: () => void;
  readonly reject: (error: unknown) => void;
}

async function readStored(path: string): Promise<unknown> {
  const file = await readFileIfExists(path);
  if (file === null) return null;
  const { payloads, validBytes } = decodeBatches(file);
  const [payload] = payloads;
  if (payload === undefined || validBytes !== file.length)
    throw new ResultError(ResultCode.StorageCorrupt, 'truncated, or it fails its checksum');
  return decodeBody(Buffer.from(payload));
}

/** Opens the store; a folder that cannot be created shows at the first write. */
export async function openWholeFileStore(options: WholeFileStoreOptions): Promise<WholeFileStore> {
  const { path, fileSystem, content, onUnreadable, onRefused } = options;
  const stored = await readStored(path).catch((error: unknown) => {
    onUnreadable(error);
    return null;
  });
  let pendingWrites: PendingWrite[] = [];
  let writing: Promise<void> | null = null;
  let isRefused = false;

  const replaceFile = async (): Promise<void> => {
    const bytes = encodeBatch([encodeBody(content())]);
    await mkdir(dirname(path), { recursive: true });
    await replaceFileAtomically(fileSystem, path, bytes);
  };

  const writePending = async (): Promise<void> => {
    while (pendingWrites.length > 0) {
      const writes = pendingWrites;
      pendingWrites = [];
      try {
        await replaceFile();
        isRefused = false;
        for (const { resolve } of writes) resolve();
      } catch (error) {
        if (!isRefused) onRefused(error);
        isRefused = true;
        for (const { reject } of writes) reject(error);
      }
    }
    writing = null;
  };

  return {
    stored,
    write: async () =>
      new Promise((resolve, reject) => {
        pendingWrites.push({ resolve, reject });
        writing ??= writePending();
      }),
    [Symbol.asyncDispose]: async () => {
      await writing;
    },
  };
}
