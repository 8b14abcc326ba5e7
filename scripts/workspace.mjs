import { spawnSync } from 'node:child_process';
import { existsSync, statSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

/** Absolute path of the workspace's root. */
export const workspaceRoot = dirname(dirname(fileURLToPath(import.meta.url)));

/**
 * Runs a command in the workspace's root with inherited output and ends this process with the
 * command's own code if it fails.
 */
export function runOrExit(command, parameters, options = {}) {
  const result = spawnSync(command, parameters, {
    cwd: workspaceRoot,
    stdio: options.quiet ? ['ignore', 2, 2] : 'inherit',
    env: process.env,
  });
  if (result.status !== 0) process.exit(result.status ?? 1);
}

/** Installs the declared packages when node_modules is missing or older than the lock file. */
export function installIfMissing(options = {}) {
  const marker = join(workspaceRoot, 'node_modules', '.package-lock.json');
  const lock = join(workspaceRoot, 'package-lock.json');
  if (existsSync(marker) && statSync(marker).mtimeMs >= statSync(lock).mtimeMs) return;
  runOrExit('npm', ['ci', '--no-audit', '--no-fund'], options);
}

/** Compiles every package. */
export function build(options = {}) {
  runOrExit(process.execPath, [join('node_modules', 'typescript', 'bin', 'tsc'), '-b'], options);
}
