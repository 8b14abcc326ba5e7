import assert from 'node:assert/strict';
import { mkdtemp, rm, truncate, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import {
  startServingSystem,
  waitForRevision,
  waitUntilServing,
} from '@burdockrail/harness/systemOperation.js';
import { startSystem, type System } from '@burdockrail/harness/system.js';
import type { SystemLayout } from '@burdockrail/harness/systemLayout.js';
import { assertGolden, runCommand, runSession } from './commandSession.js';

const program = 'packages/cli/__tests__/programs/harbour.mjs';
const update = 'packages/cli/__tests__/programs/harbourNext.mjs';
const WEIGHT_BYTES = 1_000_000;
const CHUNK_BYTES = 100_000;

/** Layout of the system that harbour.mjs configures. */
const layout: SystemLayout = {
  dataCentres: [
    { name: 'north', region: 'coast' },
    { name: 'south', region: 'bay' },
  ],
  controls: { north: 2, south: 1 },
  entries: { north: 2, south: 1 },
  controlsAreEntries: true,
  services: [
    {
      name: 'assistant',
      kind: 'model',
      home: 'north',
      upstreams: { north: 2, south: 1 },
      weights: { model: 'assistant', version: '1' },
    },
    { name: 'till', kind: 'plain', home: 'north', upstreams: { north: 1 } },
  ],
  teams: [{ name: 'guests' }],
  versions: [
    { model: 'assistant', version: '1', size: WEIGHT_BYTES, chunkSize: CHUNK_BYTES },
    { model: 'assistant', version: '2', size: WEIGHT_BYTES, chunkSize: CHUNK_BYTES },
  ],
};

async function writeProfile(system: System, folder: string): Promise<string> {
  const peers = system
    .machinesWithRole('entry')
    .map(({ name, dataCentre, roles, advertise, http }) => ({
      name,
      dataCentre,
      roles,
      address: advertise,
      http,
    }));
  const path = join(folder, 'profile.yaml');
  await writeFile(path, JSON.stringify({ peers }));
  return path;
}

/** Replaces values that differ between runs: leaders, terms, ids, memory and times. */
function normalizeTranscript(transcript: string): string {
  return transcript
    .replace(/#[\w.-]+/gu, '#INCARNATION')
    .replace(/^( {2}[\w.]+: )\S+, term \d+, committed \d+$/gmu, '$1LEADER, term N, committed N')
    .replace(/[0-9a-f]{8}(?:-[0-9a-f]{4}){3}-[0-9a-f]{12}/gu, 'REQUEST')
    .replace(/\d+ MiB$/gmu, 'N MiB')
    .replace(/\d+\.\d s/gu, 'N s')
    .replace(/^revision \d+, N s\n(?:assistant: .*\n(?: {2}\w+ +\[.*\n)+)+/gmu, '')
    .replace(/(?<=\d {2}|assistant \d {2,})[0-9a-f]{12}(?=\s)/gu, 'DIGEST');
}

describe('command session with a running fleet', () => {
  it('accepts one of several concurrent orders and answers the others with a conflict', async () => {
    const folder = await mkdtemp(join(tmpdir(), 'burdockrail-'));
    await using system = await startServingSystem(layout);
    try {
      const environment = { BURDOCKRAIL_PROFILE: await writeProfile(system, folder) };
      const apply = ['config', 'apply', update, '--yes', '--expect-revision', '1'];
      const results = await Promise.all(
        ['left', 'right', 'middle'].map(async (name) =>
          runCommand([...apply, '--order-id', name], environment),
        ),
      );
      const codes = results.map(({ exitCode }) => exitCode).sort();
      assert.deepEqual(codes, [0, 1, 1]);
      const errors = results
        .map(({ standardError }) => standardError)
        .filter((text) => text !== '');
      await waitForRevision(system, 2);
      const control = system.machinesWithRole('control')[0];
      await system.processes.stop(control?.name ?? '');
      const { dataFolder } = control ?? { dataFolder: '' };
      const inspection = await runCommand(['snapshot', 'inspect', dataFolder]);
      assert.match(
        inspection.standardOutput,
        /^fleet: incarnation .*\n(?: {2}.*\n)*ledger\.north: /u,
      );
      assert.match(
        inspection.standardOutput,
        /latest configuration: revision 2, digest [0-9a-f]{64}/u,
      );
      await truncate(join(dataFolder, 'fleet', 'snapshot'), 10);
      const damaged = await runCommand(['snapshot', 'inspect', dataFolder]);
      assert.match(damaged.standardError, /^306 StorageCorrupt: fleet: /u);
      for (const text of errors) assert.match(text, /^302 RevisionConflict: .* is revision 2,/u);
    } finally {
      await rm(folder, { recursive: true });
    }
  });

  it('forms groups, applies configurations, watches rollouts and reads outcomes', async () => {
    const folder = await mkdtemp(join(tmpdir(), 'burdockrail-'));
    await using system = await startSystem(layout);
    try {
      const environment = { BURDOCKRAIL_PROFILE: await writeProfile(system, folder) };
      const order = ['--yes', '--order-id'];
      const setupTranscript = await runSession(
        [
          ['config', 'plan', program],
          ['cluster', 'form'],
          ['cluster', 'form'],
          ['config', 'apply', program, ...order, 'order-1'],
          ['rollout', 'watch', '--timeout', '60'],
          ['config', 'show'],
        ],
        environment,
      );
      await waitForRevision(system, 1);
      await waitUntilServing(system, 'till');
      const deposit = {
        service: 'till',
        path: '/deposits',
        idempotencyKey: 'deposit-1',
        team: 'guests',
      };
      for (const name of ['entry-north-2', 'entry-south-1']) {
        const entry = system.entryUrl(name);
        const answer = await system.callers.callService({ ...deposit, entry });
        assert.equal(answer.status, 200, answer.text);
      }
      assert.equal(
        (await system.plainServiceClient('till-north-1').counts()).runsByKey['deposit-1'],
        1,
      );
      const outcome = ['--service', 'till', '--team', 'guests'];
      const updateTranscript = await runSession(
        [
          ['outcome', 'deposit-1', ...outcome],
          ['outcome', 'deposit-2', ...outcome],
          ['config', 'apply', update, ...order, 'order-2', '--expect-revision', '0'],
          ['config', 'apply', update, ...order, 'order-3', '--wait'],
          ['config', 'apply', program, ...order, 'order-1', '--expect-revision', '0'],
        ],
        environment,
      );
      await waitForRevision(system, 2);
      await waitUntilServing(system, 'assistant');
      const statusTranscript = await runSession(
        [['rollout', 'watch', '--timeout', '60'], ['status']],
        environment,
      );
      assertGolden(
        'live',
        normalizeTranscript([setupTranscript, updateTranscript, statusTranscript].join('\n')),
      );
    } finally {
      await rm(folder, { recursive: true });
    }
  });
});
