import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createServer, type AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { createDisposalStack } from '@burdockrail/common/disposalStack.js';

const HOST = '127.0.0.1';

const program = fileURLToPath(new URL('../../bin/burdockraild.js', import.meta.url));

/** Time in which a signal without a handler ends a process, in milliseconds. */
const END_MILLISECONDS = 500;

async function freePort(): Promise<number> {
  const listener = createServer().listen(0, HOST);
  await once(listener, 'listening');
  const { port } = listener.address() as AddressInfo;
  listener.close();
  await once(listener, 'close');
  return port;
}

describe('a daemon', { timeout: 30_000 }, () => {
  it('goes on serving after a SIGHUP, which tells that settings have changed', async () => {
    await using disposables = createDisposalStack();
    const folder = await mkdtemp(join(tmpdir(), 'signals-'));
    disposables.defer(async () => rm(folder, { recursive: true }));
    const settingsPath = join(folder, 'settings.yaml');
    const [listenPort, httpPort] = [await freePort(), await freePort()];
    const settings = {
      name: 'entry',
      dataCentre: 'one',
      region: 'north',
      listen: { host: HOST, port: listenPort },
      peers: [
        {
          name: 'entry',
          dataCentre: 'one',
          roles: ['entry'],
          address: { host: HOST, port: listenPort },
        },
      ],
      entry: { http: { host: HOST, port: httpPort } },
    };
    await writeFile(settingsPath, JSON.stringify(settings));
    const child = spawn(process.execPath, [program, settingsPath], {
      stdio: ['ignore', 'ignore', 'pipe'],
    });
    disposables.defer(async () => {
      if (child.exitCode !== null || child.signalCode !== null) return;
      child.kill('SIGKILL');
      await once(child, 'exit');
    });
    let output = '';
    while (!output.includes('processStarted')) {
      const [bytes] = (await once(child.stderr, 'data')) as [Buffer];
      output += bytes.toString();
    }
    child.stderr.resume();
    child.kill('SIGHUP');
    await delay(END_MILLISECONDS);
    assert.equal(child.signalCode, null);
    const response = await fetch(`http://${HOST}:${httpPort}/livez`);
    assert.equal(response.status, 200);
  });
});
