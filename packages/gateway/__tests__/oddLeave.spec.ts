import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { ControlDirectory } from '../src/controlDirectory.js';
import { startControlServer } from '../src/controlServer.js';
import type { LeaveMessage } from '../src/dialect.js';
import type { GatewayContext } from '../src/gatewayContext.js';
import type { ControlSettings } from '../src/gatewaySettings.js';
import type { LeaderClient } from '../src/leaderClient.js';
import { createMachineShares } from '../src/machineShares.js';
import { findFreePort } from './freePort.js';

const HOST = '127.0.0.1';
const STARTED_AT = 1_000;
const YEAR_MILLISECONDS = 31_536_000_000;

/** Sends a message that an upstream leaves; resolves with the status and whether it has left. */
async function sendLeave(message: LeaveMessage | null): Promise<readonly [number, boolean]> {
  const port = await findFreePort(HOST);
  const left: string[] = [];
  const context = {
    dialect: {
      controlCall: () => ({ kind: 'leave', id: 'till' }),
      decodeLeave: () => message,
      errorBody: (_code: number, text: string) => text,
    },
    log: { write: () => undefined },
    time: { now: () => performance.now() },
    shares: createMachineShares(
      { memoryMegabytes: 346, descriptors: 4_096 },
      { now: () => performance.now() },
    ),
    metrics: { count: () => undefined },
  };
  const directory = {
    upstreams: { records: [{ record: { id: 'till', startedAt: STARTED_AT } }] },
    recordLeave: (id: string) => left.push(id),
  };
  await using server = await startControlServer(
    context as unknown as GatewayContext,
    { listen: { host: HOST, port } } as unknown as ControlSettings,
    directory as unknown as ControlDirectory,
    {} as unknown as LeaderClient,
  );
  assert.ok(server);
  const { status } = await fetch(`http://${HOST}:${port}/`, { method: 'DELETE' });
  return [status, left.length > 0];
}

describe('a message of another writer that an upstream leaves', () => {
  it('does not end the upstream if it cannot be read', async () => {
    assert.deepEqual(await sendLeave(null), [400, false]);
  });

  it('does not end the upstream if no incarnation can have that start', async () => {
    const startedAt = Date.now() + YEAR_MILLISECONDS;
    assert.deepEqual(await sendLeave({ startedAt }), [400, false]);
  });

  it('ends the upstream if it names the incarnation, or none', async () => {
    assert.deepEqual(await sendLeave({ startedAt: STARTED_AT }), [200, true]);
    assert.deepEqual(await sendLeave({ startedAt: null }), [200, true]);
    assert.deepEqual(await sendLeave({ startedAt: STARTED_AT - 1 }), [200, false]);
  });
});
