import assert from 'node:assert/strict';
import { appendFile, readFile, readdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import type { System } from '@burdockrail/harness/system.js';
import { waitForRevision } from '@burdockrail/harness/systemOperation.js';
import { waitUntilTrue } from '@burdockrail/harness/waitUntil.js';
import {
  REPAIR_MILLISECONDS,
  applyAt,
  controlNames,
  fleetNamed,
  groupStatus,
  leaderAmong,
  startFormedSystem,
} from './agreementSystem.js';
import { spreadOf, spreadText, timeUntilInForce } from './agreementTimes.js';

const CHANGES = 500;

async function logPath(system: System, machine: string): Promise<string> {
  const folder = join(system.machine(machine).dataFolder, 'fleet');
  const name = (await readdir(folder)).find((candidate) => candidate.startsWith('log-'));
  return join(folder, name ?? '');
}

/** Applies changes one after the other; tells when each was sent and how long it took. */
async function applyMany(
  system: System,
  count: number,
  onAccepted: (revision: number, sentAt: number, milliseconds: number) => void = () => undefined,
): Promise<string> {
  const controls = controlNames(system);
  let digest = '';
  for (let revision = 0; revision < count; revision += 1) {
    const order = { expectedRevision: revision, orderId: `order-${revision}` };
    const machine = controls[revision % controls.length] ?? '';
    const sentAt = Date.now();
    const start = performance.now();
    const reply = await applyAt(system, machine, fleetNamed(`team-${revision}`), order);
    assert.equal(reply.kind, 'accepted');
    onAccepted(reply.revision, sentAt, performance.now() - start);
    digest = reply.digest;
  }
  return digest;
}

async function digests(system: System): Promise<readonly string[]> {
  const all = await Promise.all(
    system.machines.map(async ({ advertise }) => system.operator.status(advertise)),
  );
  return [...new Set(all.map((status) => status.digest))];
}

/** Waits until a machine's replica is a voter again, under another name than before. */
async function waitForRepair(system: System, machine: string, former: string): Promise<void> {
  await waitUntilTrue(
    async () => {
      const status = await groupStatus(system, machine, 'fleet');
      return status?.voters.includes(status.member) === true && status.member !== former;
    },
    { description: `repair of ${machine}`, timeoutMilliseconds: REPAIR_MILLISECONDS },
  );
}

describe('replicas on disk', () => {
  it(`know revision ${CHANGES} after all processes were killed and started again`, async (context) => {
    await using system = await startFormedSystem();
    const commits: number[] = [];
    const sent = new Map<number, number>();
    const digest = await applyMany(system, CHANGES, (revision, sentAt, milliseconds) => {
      commits.push(milliseconds);
      sent.set(revision, sentAt);
    });
    await waitForRevision(system, CHANGES);
    const inForce = [...sent].map(([revision, at]) => timeUntilInForce(system, revision, at));
    context.diagnostic(spreadText('answer to an order', spreadOf(commits)));
    context.diagnostic(spreadText('in force in every process', spreadOf(inForce)));
    const { names } = system.processes;
    await Promise.all(names.map(async (name) => system.processes.kill(name)));
    await Promise.all(names.map(async (name) => system.processes.start(name)));
    await waitForRevision(system, CHANGES);
    assert.deepEqual(await digests(system), [digest]);
    const order = { expectedRevision: CHANGES, orderId: 'after' };
    const reply = await applyAt(system, controlNames(system)[0] ?? '', fleetNamed('after'), order);
    assert.deepEqual([reply.kind, reply.revision], ['accepted', CHANGES + 1]);
  });

  it('come back from a wiped disk as learners, and a second loss then costs nothing', async () => {
    await using system = await startFormedSystem();
    const digest = await applyMany(system, 20);
    const [wiped = '', lost = '', left = ''] = controlNames(system);
    const former = (await groupStatus(system, wiped, 'fleet'))?.member ?? '';
    await system.processes.kill(wiped);
    await system.processes.clearDataFolder(wiped);
    await system.processes.start(wiped);
    await waitForRepair(system, wiped, former);
    const roles = system.processes
      .process(wiped)
      .events.filter(({ name, group }) => name === 'groupRoleChanged' && group === 'fleet')
      .map(({ role }) => role);
    assert.equal(
      roles.find((role) => role !== 'unformed'),
      'learner',
    );
    await system.processes.kill(lost);
    const leader = await leaderAmong(system, [wiped, left], 'fleet');
    const current = await system.operator.current(leader.advertise);
    assert.deepEqual([current?.revision, current?.digest], [20, digest]);
    const order = { expectedRevision: 20, orderId: 'after' };
    assert.equal((await applyAt(system, left, fleetNamed('after'), order)).kind, 'accepted');
  });

  it('cut off a torn tail, and refuse to start over a log damaged in the middle', async () => {
    await using system = await startFormedSystem();
    const digest = await applyMany(system, 20);
    const [torn = '', damaged = ''] = controlNames(system);
    await Promise.all([torn, damaged].map(async (name) => system.processes.kill(name)));
    await appendFile(await logPath(system, torn), Buffer.from('0000002a5f', 'hex'));
    const path = await logPath(system, damaged);
    const bytes = await readFile(path);
    const place = bytes.indexOf('team-3');
    bytes.writeUInt8(bytes.readUInt8(place) ^ 1, place);
    await writeFile(path, bytes);
    await system.processes.start(torn);
    await system.processes.process(torn).waitForEvent('storageTailCut');
    await assert.rejects(system.processes.start(damaged), /StorageCorrupt|checksum|unsound/u);
    await system.processes.clearDataFolder(damaged);
    await system.processes.start(damaged);
    await waitForRepair(system, damaged, '');
    await waitForRevision(system, 20);
    assert.deepEqual(await digests(system), [digest]);
  });
});

describe('a ledger group with one disk', () => {
  it('goes on from the disk when all its replicas in memory restart at once', async () => {
    await using system = await startFormedSystem();
    const group = 'ledger.mazowsze';
    const control = 'control-mazowsze-1';
    const entries = ['entry-mazowsze-1', 'entry-mazowsze-2'];
    await leaderAmong(system, [control, ...entries], group);
    await Promise.all(entries.map(async (name) => system.processes.kill(name)));
    await Promise.all(entries.map(async (name) => system.processes.start(name)));
    await waitUntilTrue(
      async () => {
        const states = await Promise.all(
          [control, ...entries].map(async (name) => groupStatus(system, name, group)),
        );
        const members = states.map((state) => state?.member ?? '');
        return states.every((state) => members.every((id) => state?.voters.includes(id)));
      },
      {
        description: 'three voters under their new names',
        timeoutMilliseconds: REPAIR_MILLISECONDS,
      },
    );
  });
});
