import { spawn, type ChildProcessByStdio } from 'node:child_process';
import { once } from 'node:events';
import { readFileSync, writeFileSync } from 'node:fs';
import assert from 'node:assert/strict';
import { dirname, join } from 'node:path';
import type { Readable } from 'node:stream';
import { text } from 'node:stream/consumers';
import { fileURLToPath } from 'node:url';

/** Root of this package; compiled tests are two folders below it. */
const packageRoot = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

/** Root of the workspace; working directory of the commands. */
export const workspaceRoot = join(packageRoot, '..', '..');

const executable = join(packageRoot, 'bin', 'burdockrail.js');

/** Output and exit code of one command. */
export interface CommandResult {
  readonly standardOutput: string;
  readonly standardError: string;
  readonly exitCode: number | null;
}

/** Starts the command line in a separate process. */
export function startCommand(
  commandArguments: readonly string[],
  environment: Readonly<Record<string, string>> = {},
): ChildProcessByStdio<null, Readable, Readable> {
  return spawn(process.execPath, [executable, ...commandArguments], {
    cwd: workspaceRoot,
    stdio: ['ignore', 'pipe', 'pipe'],
    env: { ...process.env, NO_COLOR: '1', COLUMNS: '100', ...environment },
  });
}

/** Runs the command line in a separate process and waits until it exits. */
export async function runCommand(
  commandArguments: readonly string[],
  environment: Readonly<Record<string, string>> = {},
): Promise<CommandResult> {
  const child = startCommand(commandArguments, environment);
  const [standardOutput, standardError] = await Promise.all([
    text(child.stdout),
    text(child.stderr),
    once(child, 'close'),
  ]);
  return { standardOutput, standardError, exitCode: child.exitCode };
}

/** Runs commands in order and returns a transcript with their output and exit codes. */
export async function runSession(
  commands: readonly (readonly string[])[],
  environment: Readonly<Record<string, string>> = {},
): Promise<string> {
  const transcripts: string[] = [];
  for (const commandArguments of commands) {
    transcripts.push(
      formatCommand(commandArguments, await runCommand(commandArguments, environment)),
    );
  }
  return transcripts.join('\n');
}

/** Formats one command and its result for the transcript. */
export function formatCommand(commandArguments: readonly string[], result: CommandResult): string {
  const errors = result.standardError.replace(/^(?=.)/gmu, '! ');
  return [
    `$ burdockrail ${commandArguments.join(' ')}\n`,
    result.standardOutput,
    errors,
    `exit ${String(result.exitCode)}\n`,
  ].join('');
}

/** Compares a transcript with its golden file; `UPDATE_GOLDEN=1` writes the file first. */
export function assertGolden(name: string, transcript: string): void {
  const path = join(packageRoot, '__tests__', 'golden', `${name}.txt`);
  if (process.env.UPDATE_GOLDEN === '1') writeFileSync(path, transcript);
  assert.equal(transcript, readFileSync(path, 'utf8'));
}
