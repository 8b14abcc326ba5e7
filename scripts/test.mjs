import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { run } from 'node:test';
import { spec } from 'node:test/reporters';
import { build, installIfMissing, workspaceRoot } from './workspace.mjs';

/** Packages whose tests start many processes; they run after the others with low concurrency. */
const processTestPackages = new Set(['proofs', 'bench', 'harness', 'platform']);
const PROCESS_TEST_CONCURRENCY = 2;
const UNIT_TEST_CONCURRENCY = 8;

/** Tests that measure the memory of processes under a crowd of clients; each runs alone. */
const CROWD_SUFFIX = 'Crowd.spec.js';

/** Timeout of one test file. */
const FILE_TIMEOUT_MILLISECONDS = 180_000;

/** Folder of a package; the platform adapter is not under `packages/`. */
function packageFolder(packageName) {
  return packageName === 'platform'
    ? join(workspaceRoot, packageName)
    : join(workspaceRoot, 'packages', packageName);
}

function compiledSpecFiles(packageName) {
  const sourceFolder = join(packageFolder(packageName), '__tests__');
  if (!existsSync(sourceFolder)) return [];
  return readdirSync(sourceFolder)
    .filter((name) => name.endsWith('.spec.ts'))
    .sort()
    .map((name) => name.replace(/\.ts$/u, '.js'))
    .map((name) => join(packageFolder(packageName), 'dist', '__tests__', name));
}

/** Reads test names from KNOWN-RED.txt; each line is `test name | command | seen | issue`. */
function readKnownRedNames() {
  const path = join(workspaceRoot, 'KNOWN-RED.txt');
  if (!existsSync(path)) return new Set();
  const lines = readFileSync(path, 'utf8').split('\n');
  const entries = lines.filter((line) => line.trim() !== '' && !line.startsWith('#'));
  return new Set(entries.map((line) => line.split('|')[0].trim()));
}

/** Suites are not counted, because a suite fails whenever one of its tests fails. */
function isSuite(event) {
  return event.details?.type === 'suite';
}

/** Some versions of Node.js report each file as a test, with the path as its name. */
function isFile(event) {
  return event.name.endsWith('.spec.js');
}

async function runFiles(files, concurrency, counts) {
  if (files.length === 0) return;
  const stream = run({ files, concurrency, timeout: FILE_TIMEOUT_MILLISECONDS });
  stream.on('test:pass', (event) => {
    if (!isSuite(event) && !isFile(event)) counts.passed.push(event.name);
  });
  stream.on('test:fail', (event) => {
    if (isSuite(event)) return;
    const failureType = event.details?.error?.failureType;
    if (isFile(event) && failureType === 'subtestsFailed') return;
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

const packageNames = [...readdirSync(join(workspaceRoot, 'packages')).sort(), 'platform'];
const requestedNames = process.argv.slice(2);
const selectedPackages =
  requestedNames.length > 0
    ? packageNames.filter((name) => requestedNames.includes(name))
    : packageNames;
const unitFiles = selectedPackages
  .filter((name) => !processTestPackages.has(name))
  .flatMap(compiledSpecFiles);
const allProcessFiles = selectedPackages
  .filter((name) => processTestPackages.has(name))
  .flatMap(compiledSpecFiles);
const processFiles = allProcessFiles.filter((file) => !file.endsWith(CROWD_SUFFIX));
const crowdFiles = allProcessFiles.filter((file) => file.endsWith(CROWD_SUFFIX));

const counts = { passed: [], failed: [] };
await runFiles(unitFiles, UNIT_TEST_CONCURRENCY, counts);
await runFiles(processFiles, PROCESS_TEST_CONCURRENCY, counts);
await runFiles(crowdFiles, 1, counts);

const knownRed = readKnownRedNames();
const unexpectedFailures = counts.failed.filter((name) => !knownRed.has(name));
const expectedFailures = counts.failed.filter((name) => knownRed.has(name));
const passedKnownRed = counts.passed.filter((name) => knownRed.has(name));
for (const name of expectedFailures) console.log(`known red, failed: ${name}`);
for (const name of passedKnownRed) console.log(`known red, passed this time: ${name}`);
for (const name of unexpectedFailures) console.log(`failed: ${name}`);
console.log(`${counts.passed.length} passed, ${unexpectedFailures.length} failed`);
process.exitCode = unexpectedFailures.length === 0 ? 0 : 1;
