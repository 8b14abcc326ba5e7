import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { UpstreamRecord } from '@burdockrail/protocol/protocolDirectory.js';
import type { ControlDirectory } from '../src/controlDirectory.js';
import { startControlServer } from '../src/controlServer.js';
import type { GatewayContext } from '../src/gatewayContext.js';
import type { ControlSettings } from '../src/gatewaySettings.js';
import type { LeaderClient } from '../src/leaderClient.js';
import { createMachineShares } from '../src/machineShares.js';
import { findFreePort } from './freePort.js';

const HOST = '127.0.0.1';
const MEBIBYTE = 1024 * 1024;

const callsByMethod: Readonly<Record<string, object>> = {
  PUT: { kind: 'heartbeat', id: 'u' },
  POST: { kind: 'putConfiguration' },
  DELETE: { kind: 'leave', id: 'u' },
};

const ignore = (): void => undefined;

/** A control server that reads each body as the service of a heartbeat, and the services it took. */
async function startServer(taken: string[]): Promise<AsyncDisposable & { readonly url: string }> {
  const port = await findFreePort(HOST);
  const record = (service: string): UpstreamRecord => ({
    id: 'u',
    service,
    address: '10.0.0.1:80',
    dataCentre: 'north',
    slots: 1,
    state: 'ready',
    startedAt: 1,
    sequence: 1,
    models: [],
  });
  const context = {
    dialect: {
      controlCall: (method: string) => callsByMethod[method] ?? null,
      decodeLeave: (body: string) => (body === '' ? { startedAt: null } : null),
      decodeHeartbeat: (_id: string, body: string) => record(body.slice(0, 8)),
      decodeConfiguration: (body: string) => {
        taken.push(body.slice(0, 8));
        return { kind: 'failure', detail: 'refused' };
      },
      errorBody: (_code: number, text: string) => text,
    },
    log: { write: ignore },
    time: { now: () => performance.now() },
    shares: createMachineShares(
      { memoryMegabytes: 346, descriptors: 4_096 },
      { now: () => performance.now() },
    ),
    metrics: { count: ignore },
  };
  const directory = {
    upstreams: { records: [] },
    hasRoomFor: () => true,
    recordLeave: (id: string) => taken.push(`${id} left`),
    recordHeartbeat: ({ service }: UpstreamRecord) => taken.push(service) > 0,
  };
  const server = await startControlServer(
    context as unknown as GatewayContext,
    { listen: { host: HOST, port } } as unknown as ControlSettings,
    directory as unknown as ControlDirectory,
    {} as unknown as LeaderClient,
  );
  return { url: `http://${HOST}:${port}/`, [Symbol.asyncDispose]: server[Symbol.asyncDispose] };
}

describe('a body that a control process cannot read', () => {
  it('is refused when it is larger than any heartbeat', async () => {
    const taken: string[] = [];
    await using server = await startServer(taken);
    for (const size of [MEBIBYTE, 8 * MEBIBYTE]) {
      const answer = await fetch(server.url, { method: 'PUT', body: '['.repeat(size) });
      assert.equal(answer.status, 413, String(size));
    }
    assert.deepEqual(taken, []);
    const sound = await fetch(server.url, { method: 'PUT', body: 'till' });
    assert.equal(sound.status, 200);
    assert.deepEqual(taken, ['till']);
  });

  it('does not remove an upstream', async () => {
    const taken: string[] = [];
    await using server = await startServer(taken);
    const odd = await fetch(server.url, { method: 'DELETE', body: '{"born":' });
    assert.deepEqual(taken, []);
    assert.equal(odd.status, 400);
    assert.equal((await fetch(server.url, { method: 'DELETE' })).status, 200);
    assert.deepEqual(taken, ['u left']);
  });

  it('is refused when it is not UTF-8, since it would be read back changed', async () => {
    const taken: string[] = [];
    await using server = await startServer(taken);
    for (const method of ['PUT', 'POST']) {
      const answer = await fetch(server.url, { method, body: Buffer.of(0x74, 0xff, 0xfe) });
      assert.equal(answer.status, 400, method);
    }
    assert.deepEqual(taken, []);
  });
});
