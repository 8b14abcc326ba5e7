import { spawnSync } from 'node:child_process';
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
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

/** Installs the declared packages when node_modules is missing or was made from another lock file. */
export function installIfMissing(options = {}) {
  const lock = readFileSync(join(workspaceRoot, 'package-lock.json'), 'utf8');
  const marker = join(workspaceRoot, 'node_modules', '.installed-lock.json');
  if (existsSync(marker) && readFileSync(marker, 'utf8') === lock) return;
  runOrExit('npm', ['ci', '--no-audit', '--no-fund'], options);
  writeFileSync(marker, lock);
}

/** Compiles every package. */
export function build(options = {}) {
  runOrExit(process.execPath, [join('node_modules', 'typescript', 'bin', 'tsc'), '-b'], options);
}
