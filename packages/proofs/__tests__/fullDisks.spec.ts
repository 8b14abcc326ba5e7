import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import { fullDiskLauncher, giveDiskRoom, takeDiskRoom } from '@burdockrail/faultproxy/diskRoom.js';
import type { System } from '@burdockrail/harness/system.js';
import { waitForRevision } from '@burdockrail/harness/systemOperation.js';
import {
  applyThrough,
  controlNames,
  fleetWithTeam,
  startFormedSystem,
  waitForLeader,
} from './agreementSystem.js';

/** Time for which the disk of one process is full, in milliseconds. */
const FULL_MILLISECONDS = 2_500;

const ROUNDS = 2;

/** Applies changes through the other processes while the disk of one process is full. */
async function fillDisk(system: System, machine: string, revision: number): Promise<number> {
  const { pid } = system.processes.process(machine);
  const others = controlNames(system).filter((name) => name !== machine);
  let applied = revision;
  await takeDiskRoom(pid);
  const endsAt = performance.now() + FULL_MILLISECONDS;
  while (performance.now() < endsAt) {
    const order = { expectedRevision: applied, orderId: `order-${applied}` };
    const through = others[applied % others.length] ?? '';
    const reply = await applyThrough(system, through, fleetWithTeam(`team-${applied}`), order);
    assert.equal(reply.kind, 'accepted');
    applied = reply.revision;
    await pause(200);
  }
  await giveDiskRoom(pid);
  return applied;
}

describe('control replicas whose disks are full one after another', () => {
  it('acknowledge changes meanwhile and after, without a restart, and keep them', async () => {
    await using system = await startFormedSystem();
    const controls = controlNames(system);
    let revision = 0;
    for (let round = 0; round < ROUNDS; round += 1) {
      for (const machine of controls) {
        revision = await fillDisk(system, machine, revision);
        // The next disk is full only when a majority without it stores the log again.
        await pause(1_000);
      }
    }
    await waitForRevision(system, revision);
    for (const machine of controls) {
      const order = { expectedRevision: revision, orderId: `after-${machine}` };
      const reply = await applyThrough(system, machine, fleetWithTeam(machine), order);
      assert.equal(reply.kind, 'accepted');
      revision = reply.revision;
    }
    for (const machine of controls) {
      const { running, events } = system.processes.process(machine);
      const failures = events.filter(
        ({ name, group }) => name === 'groupStorageFailed' && group === 'fleet',
      );
      assert.ok(running && failures.length >= ROUNDS, `${machine}: ${failures.length} failures`);
    }
    await Promise.all(controls.map(async (name) => system.processes.kill(name)));
    await Promise.all(controls.map(async (name) => system.processes.start(name)));
    const leader = await waitForLeader(system, controls, 'fleet');
    const current = await system.operator.current(leader.advertise);
    assert.equal(current?.revision, revision);
  });

  it('start on a full disk, and take part once it has room', async () => {
    await using system = await startFormedSystem();
    const [first = '', second = '', third = ''] = controlNames(system);
    await system.processes.kill(first);
    const daemon = await system.processes.start(first, fullDiskLauncher);
    await daemon.waitForEvent('groupStorageFailed');
    const order = { expectedRevision: 0, orderId: 'full' };
    assert.equal(
      (await applyThrough(system, second, fleetWithTeam('full'), order)).kind,
      'accepted',
    );
    await giveDiskRoom(daemon.pid);
    await daemon.waitForEvent('groupStorageRecovered');
    await system.processes.kill(third);
    const next = { expectedRevision: 1, orderId: 'room' };
    assert.equal((await applyThrough(system, first, fleetWithTeam('room'), next)).kind, 'accepted');
  });
});
