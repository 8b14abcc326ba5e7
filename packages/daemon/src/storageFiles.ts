import { open, readFile, rename, type FileHandle } from 'node:fs/promises';
import { dirname } from 'node:path';

/** Operations through which a storage changes its files. */
export interface StorageFileSystem {
  readonly open: typeof open;
  readonly rename: typeof rename;
}

/** File system of the machine. */
export const machineFileSystem: StorageFileSystem = { open, rename };

/** Suffix of a file that replaces another one once it is complete. */
const TEMPORARY_SUFFIX = '.new';

/** Syncs a folder, which makes created and renamed files in it durable. */
export async function syncFolder(fileSystem: StorageFileSystem, folder: string): Promise<void> {
  const handle = await fileSystem.open(folder, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/** Writes a file and syncs its content; its name is durable only after {@link syncFolder}. */
export async function writeAndSyncFile(
  fileSystem: StorageFileSystem,
  path: string,
  bytes: Uint8Array,
): Promise<void> {
  const handle: FileHandle = await fileSystem.open(path, 'w');
  try {
    await handle.writeFile(bytes);
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/** Replaces a file by a rename; after a crash, either the old or the new content is complete. */
export async function replaceFileAtomically(
  fileSystem: StorageFileSystem,
  path: string,
  bytes: Uint8Array,
): Promise<void> {
  const temporaryPath = `${path}${TEMPORARY_SUFFIX}`;
  await writeAndSyncFile(fileSystem, temporaryPath, bytes);
  await fileSystem.rename(temporaryPath, path);
  await syncFolder(fileSystem, dirname(path));
}

/** Reads a file; resolves to `null` if there is none. */
export async function readFileIfExists(path: string): Promise<Buffer | null> {
  try {
    return await readFile(path);
  } catch (error) {
    if (error instanceof Error && 'code' in error && error.code === 'ENOENT') return null;
    throw error;
  }
}
