import { readdirSync, existsSync } from 'node:fs';
import { join } from 'node:path';
import { build, installIfMissing, runOrExit, workspaceRoot } from './workspace.mjs';

/** Packages whose tests start many processes: they run after the others, few files at once. */
const processTestPackages = new Set(['proofs', 'bench']);
const processTestConcurrency = 2;

function specFiles(packageName) {
  const folder = join('packages', packageName, 'dist', '__tests__');
  const source = join(workspaceRoot, 'packages', packageName, '__tests__');
  if (!existsSync(source)) return [];
  return readdirSync(source)
    .filter((name) => name.endsWith('.spec.ts'))
    .sort()
    .map((name) => join(folder, name.replace(/\.ts$/u, '.js')));
}

installIfMissing();
build();

const packages = readdirSync(join(workspaceRoot, 'packages')).sort();
const wanted = process.argv.slice(2);
const chosen = wanted.length > 0 ? packages.filter((name) => wanted.includes(name)) : packages;
const unitFiles = chosen.filter((name) => !processTestPackages.has(name)).flatMap(specFiles);
const processFiles = chosen.filter((name) => processTestPackages.has(name)).flatMap(specFiles);
const reporter = ['--test-reporter=spec'];

if (unitFiles.length > 0) runOrExit(process.execPath, ['--test', ...reporter, ...unitFiles]);
if (processFiles.length > 0) {
  const bound = `--test-concurrency=${processTestConcurrency}`;
  runOrExit(process.execPath, ['--test', bound, ...reporter, ...processFiles]);
}
