import { open, rename, type FileHandle } from 'node:fs/promises';
import { dirname } from 'node:path';

/** Makes the names in a folder durable. */
export async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/** Writes a whole file and syncs it; its name is not durable yet. */
export async function writeSynced(path: string, bytes: Uint8Array): Promise<void> {
  const handle: FileHandle = await open(path, 'w');
  try {
    await handle.writeFile(bytes);
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/** Puts a file in place as a whole: after a failure there is the old one or the new one. */
export async function replaceFile(path: string, bytes: Uint8Array): Promise<void> {
  const temporary = `${path}.new`;
  await writeSynced(temporary, bytes);
  await rename(temporary, path);
  await syncFolder(dirname(path));
}
