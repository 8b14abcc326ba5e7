import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
import { describe, it } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import type { TraitFinding } from '@burdockrail/protocol/protocolDirectory.js';
import { createEntryQuarantine, type EntryQuarantine } from '../src/entryQuarantine.js';
import { createFindingLog } from '../src/findingLog.js';

/** Time within which a probe of a closed port is over, in milliseconds. */
const PROBE_MILLISECONDS = 200;

interface KnownUpstream {
  readonly address: string;
  readonly startedAt: number;
}

function createQuarantine(upstreams: Readonly<Record<string, KnownUpstream>>): EntryQuarantine {
  const directory = {
    get: (id: string) => {
      const known = upstreams[id];
      return known === undefined
        ? undefined
        : { record: { ...known, state: 'ready' }, silent: false };
    },
  };
  return createEntryQuarantine(
    {
      time: { now: () => performance.now() },
      log: { write: () => undefined },
      random: { next: () => 0 },
      settings: { localAddress: '127.0.0.1' },
    } as unknown as Parameters<typeof createEntryQuarantine>[0],
    () => ({ directory }) as unknown as ReturnType<Parameters<typeof createEntryQuarantine>[1]>,
  );
}

async function closedPort(): Promise<number> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}

/** Passes the findings of one entry to another through a control process. */
function relay(from: EntryQuarantine, to: EntryQuarantine, control = 'c1'): void {
  const log = createFindingLog();
  log.add(from.takeFindings());
  to.applyFindings(log.since(0), control, performance.now());
}

const poison = (content: string) => ({ content, parts: ['common', 'bad'] });

async function crashThree(quarantine: EntryQuarantine): Promise<void> {
  for (const upstream of ['u1', 'u2', 'u3'])
    quarantine.recordConnectionLoss(poison(`r-${upstream}`), upstream);
  await pause(PROBE_MILLISECONDS);
}

const isRefused = (quarantine: EntryQuarantine, ...parts: readonly string[]): boolean =>
  quarantine.statusOf({ content: 'new', parts }, performance.now()).kind === 'quarantined';

describe('the quarantine of an entry', () => {
  const upstreamsAt = (port: number) =>
    Object.fromEntries(
      ['u1', 'u2', 'u3'].map((id) => [id, { address: `127.0.0.1:${port}`, startedAt: 5 }]),
    );

  it('counts a crash as soon as the upstream refuses connections, and tells other entries', async () => {
    const upstreams = upstreamsAt(await closedPort());
    const first = createQuarantine(upstreams);
    const second = createQuarantine(upstreams);
    second.recordCompletion({ content: 'sound', parts: ['common'] }, 0);
    await crashThree(first);
    assert.equal(isRefused(first, 'bad'), true);
    relay(first, second);
    assert.equal(isRefused(second, 'common', 'bad'), true);
    assert.equal(isRefused(second, 'common'), false);
  });

  it('learns from other entries which of the blamed parts are sound', async () => {
    const upstreams = upstreamsAt(await closedPort());
    const first = createQuarantine(upstreams);
    const second = createQuarantine(upstreams);
    first.recordConnectionLoss({ content: 'victim', parts: ['common'] }, 'u1');
    await pause(PROBE_MILLISECONDS);
    second.recordCompletion({ content: 'sound', parts: ['common'] }, 0);
    relay(first, second);
    relay(second, first);
    for (const upstream of ['u2', 'u3'])
      first.recordConnectionLoss({ content: `victim-${upstream}`, parts: ['common'] }, upstream);
    await pause(PROBE_MILLISECONDS);
    assert.equal(isRefused(first, 'common'), false);
  });

  it('lifts the quarantine of a repeated request that another entry has seen run to completion', async () => {
    const upstreams = upstreamsAt(await closedPort());
    const first = createQuarantine(upstreams);
    const second = createQuarantine(upstreams);
    const repeated = { content: 'same', parts: [] };
    second.recordCompletion(repeated, 0);
    for (const upstream of ['u1', 'u2', 'u3']) first.recordConnectionLoss(repeated, upstream);
    await pause(PROBE_MILLISECONDS);
    assert.equal(first.statusOf(repeated, performance.now()).kind, 'quarantined');
    relay(first, second);
    assert.notEqual(second.statusOf(repeated, performance.now()).kind, 'quarantined');
    relay(second, first);
    assert.notEqual(first.statusOf(repeated, performance.now()).kind, 'quarantined');
  });

  it('counts no crash while the upstream accepts connections, as after a network reset', async () => {
    const server = createServer((socket) => socket.destroy()).listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    const quarantine = createQuarantine(upstreamsAt(port));
    await crashThree(quarantine);
    assert.equal(isRefused(quarantine, 'bad'), false);
    assert.deepEqual(quarantine.takeFindings(), []);
    server.close();
  });

  it('sends no second attempt when one crash more would quarantine the part', async () => {
    const quarantine = createQuarantine(upstreamsAt(await closedPort()));
    quarantine.recordConnectionLoss(poison('a'), 'u1');
    await pause(PROBE_MILLISECONDS);
    assert.equal(quarantine.mayRetry(poison('b'), performance.now()), true);
    quarantine.recordConnectionLoss(poison('b'), 'u2');
    await pause(PROBE_MILLISECONDS);
    assert.equal(quarantine.mayRetry(poison('c'), performance.now()), false);
    const sound = { content: 'd', parts: ['other'] };
    assert.equal(quarantine.mayRetry(sound, performance.now()), true);
  });

  it('tells a control process that has just started what is in quarantine', async () => {
    const upstreams = upstreamsAt(await closedPort());
    const first = createQuarantine(upstreams);
    await crashThree(first);
    first.applyFindings([], 'c1', performance.now());
    first.takeFindings();
    first.applyFindings([], 'c2', performance.now());
    const late = createQuarantine(upstreams);
    relay(first, late, 'c2');
    assert.equal(isRefused(late, 'bad'), true);
  });
});

describe('the log of findings', () => {
  const verdict = (kind: 'quarantine' | 'sound'): TraitFinding => ({ kind, trait: 't' });

  it('ends with the same verdict in whichever order verdicts arrive', () => {
    for (const order of [
      [verdict('quarantine'), verdict('sound')],
      [verdict('sound'), verdict('quarantine')],
    ]) {
      const log = createFindingLog();
      log.add(order);
      assert.deepEqual(log.since(0), [verdict('sound')]);
      assert.equal(log.add(order), false);
    }
  });

  it('hands out each finding once, and the same crash only once', () => {
    const crash = { kind: 'crash', content: 'c', parts: [], upstream: 'u', startedAt: 1 } as const;
    const log = createFindingLog();
    assert.equal(log.add([crash]), true);
    assert.equal(log.add([crash]), false);
    const { revision } = log;
    assert.equal(log.add([{ ...crash, startedAt: 2 }]), true);
    assert.deepEqual(log.since(revision), [{ ...crash, startedAt: 2 }]);
  });
});
