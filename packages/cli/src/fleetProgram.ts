import { access, readFile } from 'node:fs/promises';
import { register } from 'node:module';
import { extname, resolve } from 'node:path';
import { pathToFileURL } from 'node:url';
import { ResultError } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { checkFleet } from '@burdockrail/fleet/fleetChecks.js';
import type { FleetConfiguration } from '@burdockrail/fleet/fleetConfiguration.js';
import { IssuesError } from './commandFailure.js';

/** Functions that read a fleet program, by file extension. */
const readers: Readonly<Record<string, (path: string) => Promise<unknown>>> = {
  '.js': importProgram,
  '.mjs': importProgram,
  '.ts': importProgram,
  '.mts': importProgram,
  '.yaml': readYaml,
  '.yml': readYaml,
};

/**
 * Runs a fleet program and validates the configuration that it declares.
 *
 * @remarks
 * Throws a {@link ResultError} with `FleetProgramFailed` if the program cannot be run, and an
 * {@link IssuesError} with `FleetInvalid` if its configuration is invalid.
 */
export async function loadFleet(path: string): Promise<FleetConfiguration> {
  const check = checkFleet(await readProgram(path));
  if (check.kind === 'valid') return check.fleet;
  const count = check.issues.length === 1 ? '1 fault' : `${check.issues.length} faults`;
  throw new IssuesError(ResultCode.FleetInvalid, check.issues, `${count} in ${path}`);
}

async function readProgram(path: string): Promise<unknown> {
  const reader = readers[extname(path)];
  if (reader === undefined) {
    const extensions = Object.keys(readers).join(', ');
    throw programFailure(path, `expected a file with one of the extensions ${extensions}`);
  }
  try {
    await access(path);
  } catch {
    throw programFailure(path, 'the file cannot be read');
  }
  try {
    return await reader(resolve(path));
  } catch (error) {
    throw programFailure(path, error instanceof Error ? error.message : String(error));
  }
}

function programFailure(path: string, reason: string): ResultError {
  return new ResultError(ResultCode.FleetProgramFailed, `${path}: ${reason}`);
}

/**
 * Result of `defineFleet`. It is recognized by its `kind` and not by its class, because a program
 * may import another copy of the operator library.
 */
interface DefaultExport {
  readonly kind?: unknown;
  readonly input?: unknown;
}

async function importProgram(path: string): Promise<unknown> {
  register('./fleetProgramHooks.js', import.meta.url);
  const module = (await import(pathToFileURL(path).href)) as { readonly default?: DefaultExport };
  if (module.default?.kind !== 'fleet-definition') {
    throw new Error('expected a default export made by defineFleet(...)');
  }
  return module.default.input;
}

async function readYaml(path: string): Promise<unknown> {
  const { parse } = await import('yaml');
  return parse(await readFile(path, 'utf8'));
}
