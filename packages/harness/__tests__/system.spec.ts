import assert from 'node:assert/strict';
import { existsSync } from 'node:fs';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { describe, it } from 'node:test';
import { startSystem } from '../src/system.js';
import type { SystemLayout } from '../src/systemLayout.js';
import { placeSystem } from '../src/systemPlacement.js';
import { createSystemProcesses } from '../src/systemProcesses.js';
import { waitUntilTrue } from '../src/waitUntil.js';

const layout: SystemLayout = {
  dataCentres: [{ name: 'sul-lagoa', region: 'sul-lagoa' }],
  controls: { 'sul-lagoa': 1 },
  entries: { 'sul-lagoa': 2 },
  services: [
    {
      name: 'ledger-ponte',
      kind: 'plain',
      home: 'sul-lagoa',
      upstreams: { 'sul-lagoa': 1 },
    },
  ],
  teams: [{ name: 'piers' }],
  versions: [],
};

function processExists(pid: number): boolean {
  try {
    process.kill(pid, 0);
    return true;
  } catch {
    return false;
  }
}

describe('startSystem', () => {
  for (const links of [undefined, { clientMilliseconds: 1 }]) {
    const connection = links === undefined ? 'directly' : 'through the proxy';
    it(`starts processes that connect ${connection} and ends all of them on disposal`, async () => {
      const system = await startSystem(links === undefined ? layout : { ...layout, links });
      const { names } = system.processes;
      const pids = names.map((name) => system.processes.process(name).pid);
      const folder = dirname(system.processes.logPath('entry-sul-lagoa-1'));
      const entry = system.machine('entry-sul-lagoa-2').advertise;
      await waitUntilTrue(async () => (await system.operator.upstreams(entry)).length === 1, {
        description: 'an upstream at the entry',
      });
      await system.processes.restart('ledger-ponte-sul-lagoa-1');
      assert.equal(await system.processes.stop('entry-sul-lagoa-2'), 0);
      await system[Symbol.asyncDispose]();
      assert.deepEqual(pids.filter(processExists), []);
      assert.equal(existsSync(folder), false);
    });
  }
});

describe('the processes of a system', () => {
  it('are all ended when one of them could not start', async () => {
    const folder = await mkdtemp(join(tmpdir(), 'burdockrail-'));
    const placement = await placeSystem(layout, folder);
    const processes = await createSystemProcesses(placement, layout, folder);
    const starts = processes.names.map(async (name) => processes.start(name));
    const failures = starts.map(async (start) => assert.rejects(start));
    await processes[Symbol.asyncDispose]();
    const running = processes.names.filter((name) => processes.process(name).running);
    assert.deepEqual(running, []);
    await Promise.all(failures);
    await rm(folder, { recursive: true });
  });
});
