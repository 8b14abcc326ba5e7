import assert from 'node:assert/strict';
import { appendFile, readFile, readdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import type { System } from '@burdockrail/harness/system.js';
import { waitForRevision } from '@burdockrail/harness/systemOperation.js';
import { waitUntilTrue } from '@burdockrail/harness/waitUntil.js';
import {
  RECOVERY_TIMEOUT_MILLISECONDS,
  applyThrough,
  controlNames,
  fleetWithTeam,
  groupStatus,
  waitForLeader,
  startFormedSystem,
} from './agreementSystem.js';
import {
  percentilesOf,
  formatPercentiles,
  millisecondsUntilInForce,
} from './agreementDurations.js';

const CHANGES = 500;

async function logPath(system: System, machine: string): Promise<string> {
  const folder = join(system.machine(machine).dataFolder, 'fleet');
  const name = (await readdir(folder)).find((candidate) => candidate.startsWith('log-'));
  return join(folder, name ?? '');
}

/** Applies changes one after the other and reports when each was sent and how long it took. */
async function applyChanges(
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
    const reply = await applyThrough(system, machine, fleetWithTeam(`team-${revision}`), order);
    assert.equal(reply.kind, 'accepted');
    onAccepted(reply.revision, sentAt, performance.now() - start);
    digest = reply.digest;
  }
  return digest;
}

async function distinctDigests(system: System): Promise<readonly string[]> {
  const all = await Promise.all(
    system.machines.map(async ({ advertise }) => system.operator.status(advertise)),
  );
  return [...new Set(all.map((status) => status.digest))];
}

/** Waits until a machine's replica is a voter again, under a new member id. */
async function waitUntilVoterAgain(
  system: System,
  machine: string,
  formerMember: string,
): Promise<void> {
  await waitUntilTrue(
    async () => {
      const status = await groupStatus(system, machine, 'fleet');
      return status?.voters.includes(status.member) === true && status.member !== formerMember;
    },
    { description: `repair of ${machine}`, timeoutMilliseconds: RECOVERY_TIMEOUT_MILLISECONDS },
  );
}

describe('control replicas with a disk', () => {
  it(`recover revision ${CHANGES} after all processes were killed and restarted`, async (context) => {
    await using system = await startFormedSystem();
    const commits: number[] = [];
    const sent = new Map<number, number>();
    const digest = await applyChanges(system, CHANGES, (revision, sentAt, milliseconds) => {
      commits.push(milliseconds);
      sent.set(revision, sentAt);
    });
    await waitForRevision(system, CHANGES);
    const inForce = [...sent].map(([revision, at]) =>
      millisecondsUntilInForce(system, revision, at),
    );
    context.diagnostic(formatPercentiles('answer to an order', percentilesOf(commits)));
    context.diagnostic(formatPercentiles('in force in every process', percentilesOf(inForce)));
    const { names } = system.processes;
    await Promise.all(names.map(async (name) => system.processes.kill(name)));
    await Promise.all(names.map(async (name) => system.processes.start(name)));
    await waitForRevision(system, CHANGES);
    assert.deepEqual(await distinctDigests(system), [digest]);
    const order = { expectedRevision: CHANGES, orderId: 'after' };
    const reply = await applyThrough(
      system,
      controlNames(system)[0] ?? '',
      fleetWithTeam('after'),
      order,
    );
    assert.deepEqual([reply.kind, reply.revision], ['accepted', CHANGES + 1]);
  });

  it('rejoin as learners after a disk loss, and losing another replica then loses no data', async () => {
    await using system = await startFormedSystem();
    const digest = await applyChanges(system, 20);
    const [wiped = '', killed = '', remaining = ''] = controlNames(system);
    const formerMember = (await groupStatus(system, wiped, 'fleet'))?.member ?? '';
    await system.processes.kill(wiped);
    await system.processes.clearDataFolder(wiped);
    await system.processes.start(wiped);
    await waitUntilVoterAgain(system, wiped, formerMember);
    const roles = system.processes
      .process(wiped)
      .events.filter(({ name, group }) => name === 'groupRoleChanged' && group === 'fleet')
      .map(({ role }) => role);
    assert.equal(
      roles.find((role) => role !== 'unformed'),
      'learner',
    );
    await system.processes.kill(killed);
    const leader = await waitForLeader(system, [wiped, remaining], 'fleet');
    const current = await system.operator.current(leader.advertise);
    assert.deepEqual([current?.revision, current?.digest], [20, digest]);
    const order = { expectedRevision: 20, orderId: 'after' };
    assert.equal(
      (await applyThrough(system, remaining, fleetWithTeam('after'), order)).kind,
      'accepted',
    );
  });

  it('truncate a torn log tail, and refuse to start with a log that is corrupt in the middle', async () => {
    await using system = await startFormedSystem();
    const digest = await applyChanges(system, 20);
    const [torn = '', corrupt = ''] = controlNames(system);
    await Promise.all([torn, corrupt].map(async (name) => system.processes.kill(name)));
    await appendFile(await logPath(system, torn), Buffer.from('0000002a5f', 'hex'));
    const path = await logPath(system, corrupt);
    const bytes = await readFile(path);
    const offset = bytes.indexOf('team-3');
    bytes.writeUInt8(bytes.readUInt8(offset) ^ 1, offset);
    await writeFile(path, bytes);
    await system.processes.start(torn);
    await system.processes.process(torn).waitForEvent('storageTailCut');
    await assert.rejects(system.processes.start(corrupt), /StorageCorrupt|checksum|unsound/u);
    await system.processes.clearDataFolder(corrupt);
    await system.processes.start(corrupt);
    await waitUntilVoterAgain(system, corrupt, '');
    await waitForRevision(system, 20);
    assert.deepEqual(await distinctDigests(system), [digest]);
  });
});

describe('a ledger group with a single disk replica', () => {
  it('recovers from the disk replica when all its in-memory replicas restart at once', async () => {
    await using system = await startFormedSystem();
    const group = 'ledger.mazowsze';
    const control = 'control-mazowsze-1';
    const entries = ['entry-mazowsze-1', 'entry-mazowsze-2'];
    await waitForLeader(system, [control, ...entries], group);
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
        description: 'three voters with new member ids',
        timeoutMilliseconds: RECOVERY_TIMEOUT_MILLISECONDS,
      },
    );
  });
});
