import { open, rename, type FileHandle } from 'node:fs/promises';
import { dirname } from 'node:path';

/** Syncs a folder, which makes created and renamed files in it durable. */
export async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/** Writes a file and syncs its content; its name is durable only after {@link syncFolder}. */
export async function writeAndSyncFile(path: string, bytes: Uint8Array): Promise<void> {
  const handle: FileHandle = await open(path, 'w');
  try {
    await handle.writeFile(bytes);
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/** Replaces a file by a rename; after a crash, either the old or the new content is complete. */
export async function replaceFileAtomically(path: string, bytes: Uint8Array): Promise<void> {
  const temporaryPath = `${path}.new`;
  await writeAndSyncFile(temporaryPath, bytes);
  await rename(temporaryPath, path);
  await syncFolder(dirname(path));
}
