import { spawnSync } from 'node:child_process';
import { readFileSync, writeFileSync } from 'node:fs';
import assert from 'node:assert/strict';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

/** Root of this package; the compiled tests stand two folders below it. */
const packageRoot = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

/** Root of the workspace, from which the commands of a session run. */
export const workspaceRoot = join(packageRoot, '..', '..');

const executable = join(packageRoot, 'bin', 'burdockrail.js');

/** What one command printed and returned. */
export interface CommandResult {
  readonly standardOutput: string;
  readonly standardError: string;
  readonly exitCode: number | null;
}

/** Runs the command line as a process of its own and waits for its end. */
export function runCommand(parameters: readonly string[], input = ''): CommandResult {
  const result = spawnSync(process.execPath, [executable, ...parameters], {
    cwd: workspaceRoot,
    encoding: 'utf8',
    input,
    env: { ...process.env, NO_COLOR: '1', COLUMNS: '100' },
  });
  return {
    standardOutput: result.stdout,
    standardError: result.stderr,
    exitCode: result.status,
  };
}

/** Text of a session: each command with its output and exit code. */
export function sessionOf(commands: readonly (readonly string[])[]): string {
  return commands.map((parameters) => renderCommand(parameters, runCommand(parameters))).join('\n');
}

/** Text of one command within a session. */
export function renderCommand(parameters: readonly string[], result: CommandResult): string {
  const errors = result.standardError.replace(/^(?=.)/gmu, '! ');
  return [
    `$ burdockrail ${parameters.join(' ')}\n`,
    result.standardOutput,
    errors,
    `exit ${String(result.exitCode)}\n`,
  ].join('');
}

/** Compares a session with its golden file; `UPDATE_GOLDEN=1` writes the file instead. */
export function assertGolden(name: string, session: string): void {
  const path = join(packageRoot, '__tests__', 'golden', `${name}.txt`);
  if (process.env.UPDATE_GOLDEN === '1') writeFileSync(path, session);
  assert.equal(session, readFileSync(path, 'utf8'));
}
