import { spawn, type ChildProcessByStdio } from 'node:child_process';
import { once } from 'node:events';
import { readFileSync, writeFileSync } from 'node:fs';
import assert from 'node:assert/strict';
import { dirname, join } from 'node:path';
import type { Readable } from 'node:stream';
import { text } from 'node:stream/consumers';
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

/** Starts the command line as a process of its own. */
export function startCommand(
  parameters: readonly string[],
  environment: Readonly<Record<string, string>> = {},
): ChildProcessByStdio<null, Readable, Readable> {
  return spawn(process.execPath, [executable, ...parameters], {
    cwd: workspaceRoot,
    stdio: ['ignore', 'pipe', 'pipe'],
    env: { ...process.env, NO_COLOR: '1', COLUMNS: '100', ...environment },
  });
}

/** Runs the command line as a process of its own and waits for its end. */
export async function runCommand(
  parameters: readonly string[],
  environment: Readonly<Record<string, string>> = {},
): Promise<CommandResult> {
  const child = startCommand(parameters, environment);
  const [standardOutput, standardError] = await Promise.all([
    text(child.stdout),
    text(child.stderr),
    once(child, 'close'),
  ]);
  return { standardOutput, standardError, exitCode: child.exitCode };
}

/** Text of a session: each command with its output and exit code, one after the other. */
export async function sessionOf(
  commands: readonly (readonly string[])[],
  environment: Readonly<Record<string, string>> = {},
): Promise<string> {
  const parts: string[] = [];
  for (const parameters of commands) {
    parts.push(renderCommand(parameters, await runCommand(parameters, environment)));
  }
  return parts.join('\n');
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
