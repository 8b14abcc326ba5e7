import { execFile } from 'node:child_process';
import { promisify } from 'node:util';

const run = promisify(execFile);

/** Command that starts the program after it without room on its disk. */
export const fullDiskLauncher: readonly string[] = ['prlimit', '--fsize=0:'];

async function limitFileSize(pid: number, softLimit: string): Promise<void> {
  await run('prlimit', ['--pid', String(pid), `--fsize=${softLimit}:`]);
}

/**
 * Makes all writes of a running process to files fail, as a full disk does.
 *
 * @remarks
 * Sets the soft limit of the size of a file to 0; Node ignores the signal, so writes fail with
 * `EFBIG`. Pipes and sockets are not affected.
 */
export async function takeDiskRoom(pid: number): Promise<void> {
  await limitFileSize(pid, '0');
}

/** Lets the process write to files again. */
export async function giveDiskRoom(pid: number): Promise<void> {
  await limitFileSize(pid, 'unlimited');
}
