import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { run } from 'node:test';
import { spec } from 'node:test/reporters';
import { build, installIfMissing, workspaceRoot } from './workspace.mjs';

/** Packages whose tests start many processes: they run after the others, few files at once. */
const processTestPackages = new Set(['proofs', 'bench', 'harness', 'platform']);
const processTestConcurrency = 2;
const unitTestConcurrency = 8;

/** Longest time that one test file may take, in milliseconds. */
const fileTimeoutMilliseconds = 180_000;

/** Folder of a package; the adapter stands beside the others. */
function packageFolder(packageName) {
  return packageName === 'platform'
    ? join(workspaceRoot, packageName)
    : join(workspaceRoot, 'packages', packageName);
}

function specFiles(packageName) {
  const source = join(packageFolder(packageName), '__tests__');
  if (!existsSync(source)) return [];
  return readdirSync(source)
    .filter((name) => name.endsWith('.spec.ts'))
    .sort()
    .map((name) => name.replace(/\.ts$/u, '.js'))
    .map((name) => join(packageFolder(packageName), 'dist', '__tests__', name));
}

/** Names of tests listed in KNOWN-RED.txt, one entry a line: `test name | command | seen | issue`. */
function knownRedNames() {
  const path = join(workspaceRoot, 'KNOWN-RED.txt');
  if (!existsSync(path)) return new Set();
  const lines = readFileSync(path, 'utf8').split('\n');
  const entries = lines.filter((line) => line.trim() !== '' && !line.startsWith('#'));
  return new Set(entries.map((line) => line.split('|')[0].trim()));
}

/** A suite fails with its tests; only the tests themselves count. */
function isSuite(event) {
  return event.details?.type === 'suite';
}

/** The runner reports each file as a test of its own in some versions; its name is the path. */
function isFile(event) {
  return event.name.endsWith('.spec.js');
}

async function runFiles(files, concurrency, counts) {
  if (files.length === 0) return;
  const stream = run({ files, concurrency, timeout: fileTimeoutMilliseconds });
  stream.on('test:pass', (event) => {
    if (!isSuite(event) && !isFile(event)) counts.passed.push(event.name);
  });
  stream.on('test:fail', (event) => {
    if (isSuite(event)) return;
    const cause = event.details?.error?.failureType;
    if (isFile(event) && cause === 'subtestsFailed') return;
    counts.failed.push(event.name);
  });
  const report = stream.compose(new spec());
  report.pipe(process.stdout, { end: false });
  await new Promise((resolve, reject) => {
    report.on('end', resolve);
    report.on('error', reject);
  });
}

installIfMissing();
build();

const packages = [...readdirSync(join(workspaceRoot, 'packages')).sort(), 'platform'];
const wanted = process.argv.slice(2);
const chosen = wanted.length > 0 ? packages.filter((name) => wanted.includes(name)) : packages;
const unitFiles = chosen.filter((name) => !processTestPackages.has(name)).flatMap(specFiles);
const processFiles = chosen.filter((name) => processTestPackages.has(name)).flatMap(specFiles);

const counts = { passed: [], failed: [] };
await runFiles(unitFiles, unitTestConcurrency, counts);
await runFiles(processFiles, processTestConcurrency, counts);

const knownRed = knownRedNames();
const unexpected = counts.failed.filter((name) => !knownRed.has(name));
const expected = counts.failed.filter((name) => knownRed.has(name));
const mended = counts.passed.filter((name) => knownRed.has(name));
for (const name of expected) console.log(`known red, failed: ${name}`);
for (const name of mended) console.log(`known red, passed this time: ${name}`);
for (const name of unexpected) console.log(`failed: ${name}`);
console.log(`${counts.passed.length} passed, ${unexpected.length} failed`);
process.exitCode = unexpected.length === 0 ? 0 : 1;
