import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

const programPath = fileURLToPath(new URL('../../bin/burdockraild.js', import.meta.url));

/** A loopback address that no other test uses. */
const address = { host: '127.59.0.1', port: 7_700 };

const settings = JSON.stringify({
  name: 'entry',
  dataCentre: 'one',
  region: 'north',
  listen: address,
  peers: [{ name: 'entry', dataCentre: 'one', roles: ['entry'], address }],
  entry: { http: { host: address.host, port: 0 } },
});

/** Longest wait for the start of a process, in milliseconds. */
const START_MILLISECONDS = 10_000;

/** Time in which a process has begun to drain and has not ended, in milliseconds. */
const DRAIN_BEGUN_MILLISECONDS = 300;

/** Starts an entry, sends it signals, and returns how it ended. */
async function exitAfter(signals: readonly NodeJS.Signals[]): Promise<readonly unknown[]> {
  const folder = await mkdtemp(join(tmpdir(), 'burdockrail-signals-'));
  const path = join(folder, 'settings.yaml');
  await writeFile(path, settings);
  const child = spawn(process.execPath, [programPath, path], { stdio: 'pipe' });
  try {
    let output = '';
    child.stderr.on('data', (bytes: Buffer) => {
      output += bytes.toString();
    });
    const deadline = performance.now() + START_MILLISECONDS;
    while (!output.includes('processStarted')) {
      assert.ok(performance.now() < deadline, `the entry has not started: ${output}`);
      await pause(20);
    }
    const exit = once(child, 'exit');
    for (const signal of signals) {
      child.kill(signal);
      await pause(DRAIN_BEGUN_MILLISECONDS);
    }
    return (await exit) as readonly unknown[];
  } finally {
    child.kill('SIGKILL');
    await rm(folder, { recursive: true });
  }
}

describe('a daemon that drains', () => {
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'] as const) {
    it(`is not ended at once by another ${signal}`, async () => {
      assert.deepEqual(await exitAfter(['SIGTERM', signal]), [0, null]);
    });
  }
});
