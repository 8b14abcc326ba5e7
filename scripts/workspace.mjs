import { spawnSync } from 'node:child_process';
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

/** Absolute path of the workspace root. */
export const workspaceRoot = dirname(dirname(fileURLToPath(import.meta.url)));

/**
 * Runs a command in the workspace root. If it fails, exits this process with the exit code of the
 * command.
 *
 * @param options.quiet - send the standard output of the command to standard error.
 */
export function runOrExit(command, commandArguments, options = {}) {
  const result = spawnSync(command, commandArguments, {
    cwd: workspaceRoot,
    stdio: options.quiet ? ['ignore', 2, 2] : 'inherit',
    env: process.env,
  });
  if (result.status !== 0) process.exit(result.status ?? 1);
}

/** Installs dependencies if node_modules is missing or was installed from another lock file. */
export function installIfMissing(options = {}) {
  const lockFile = readFileSync(join(workspaceRoot, 'package-lock.json'), 'utf8');
  const markerPath = join(workspaceRoot, 'node_modules', '.installed-lock.json');
  if (existsSync(markerPath) && readFileSync(markerPath, 'utf8') === lockFile) return;
  runOrExit('npm', ['ci', '--no-audit', '--no-fund'], options);
  writeFileSync(markerPath, lockFile);
}

/** Compiles all packages. */
export function build(options = {}) {
  runOrExit(process.execPath, [join('node_modules', 'typescript', 'bin', 'tsc'), '-b'], options);
}
