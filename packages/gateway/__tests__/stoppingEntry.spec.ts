import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import { createDisposalStack } from '@burdockrail/common/disposalStack.js';
import type { EngineRules } from '@burdockrail/routing/routeConfiguration.js';
import type { RouteTable } from '@burdockrail/routing/routeTable.js';
import type { EntrySlots, SlotOutcome } from '../src/entrySlots.js';
import { createSlot } from './entryContextFixture.js';
import {
  answerWhole,
  beginStream,
  kinds,
  requestText,
  startEntry,
  waitUntil,
} from './stoppingEntryFixture.js';

/** Grace period that ends long after a test, in milliseconds. */
const LONG_GRACE_MILLISECONDS = 60_000;

/** Grace period in which a short request ends and one of ten seconds doesn't, in milliseconds. */
const SHORT_GRACE_MILLISECONDS = 1_500;

/** Time for bytes to arrive at a server of this process, in milliseconds. */
const ARRIVAL_MILLISECONDS = 200;

/** Slots that a test grants. */
function createHeldSlots() {
  const held: ((outcome: SlotOutcome) => void)[] = [];
  return {
    slots: {
      claim: async () =>
        new Promise((resolve) => {
          held.push(resolve);
        }),
    } satisfies EntrySlots,
    held,
  };
}

describe('a request at an entry that is stopping', () => {
  for (const kind of kinds) {
    it(`is refused at once if it would outlast the process (${kind})`, async () => {
      await using disposables = createDisposalStack();
      const { upstream, caller, announceEnd } = await startEntry(disposables);
      const { send, closed, received } = caller();
      announceEnd(SHORT_GRACE_MILLISECONDS);
      send(requestText('one', kind));
      await closed();
      assert.match(received(), /^HTTP\/1\.1 503 [^]*retry-after: 0\.000/iu);
      assert.equal(upstream.requests.length, 0);
    });

    it(`is passed on if requests of its route usually end in time (${kind})`, async () => {
      await using disposables = createDisposalStack();
      const { caller, respondWith, announceEnd } = await startEntry(disposables);
      respondWith(answerWhole);
      const first = caller();
      first.send(requestText('one', kind));
      await waitUntil('the first is answered', () => first.received().includes('done'));
      announceEnd(SHORT_GRACE_MILLISECONDS);
      const second = caller();
      second.send(requestText('two', kind));
      await second.closed();
      assert.match(second.received(), /^HTTP\/1\.1 200 [^]*done/u);
    });

    it(`is answered without a promise if it may have run when the process ends (${kind})`, async () => {
      await using disposables = createDisposalStack();
      const { upstream, server, caller, announceEnd } = await startEntry(disposables);
      const { send, closed, statuses } = caller();
      send(requestText('one', kind));
      await waitUntil('it is passed on', () => upstream.requests.length === 1);
      announceEnd(LONG_GRACE_MILLISECONDS);
      server.stopListening();
      await server[Symbol.asyncDispose]();
      await closed();
      assert.deepEqual(statuses(), ['504']);
    });

    it(`is refused if its body arrives after the entry has stopped (${kind})`, async () => {
      await using disposables = createDisposalStack();
      const { upstream, server, caller, announceEnd } = await startEntry(disposables);
      const { send, closed, statuses } = caller();
      send(requestText('one', kind).slice(0, -1));
      await pause(ARRIVAL_MILLISECONDS);
      announceEnd(LONG_GRACE_MILLISECONDS);
      server.stopListening();
      send('b');
      await pause(ARRIVAL_MILLISECONDS);
      assert.equal(upstream.requests.length, 0);
      await closed();
      assert.deepEqual(statuses(), ['503']);
    });

    it(`is refused if its body is still being read when the process ends (${kind})`, async () => {
      await using disposables = createDisposalStack();
      const { upstream, server, caller, announceEnd } = await startEntry(disposables);
      const { send, closed, statuses } = caller();
      send(requestText('one', kind).slice(0, -1));
      await pause(ARRIVAL_MILLISECONDS);
      announceEnd(LONG_GRACE_MILLISECONDS);
      server.stopListening();
      await server[Symbol.asyncDispose]();
      await closed();
      assert.deepEqual(statuses(), ['503']);
      assert.equal(upstream.requests.length, 0);
    });

    it(`is refused if it waits for a confirmed configuration until then (${kind})`, async () => {
      await using disposables = createDisposalStack();
      const { upstream, server, caller, announceEnd } = await startEntry(
        disposables,
        ({ clusterView }) => ({ clusterView: { ...clusterView, confirmedAt: -1e9 } }),
      );
      const { send, closed, statuses } = caller();
      send(requestText('one', kind));
      await pause(ARRIVAL_MILLISECONDS);
      announceEnd(LONG_GRACE_MILLISECONDS);
      server.stopListening();
      await closed();
      assert.deepEqual(statuses(), ['503']);
      assert.equal(upstream.requests.length, 0);
    });

    it(`is answered although an answer before it ends the connection (${kind})`, async () => {
      await using disposables = createDisposalStack();
      const { upstream, caller, announceEnd } = await startEntry(disposables);
      const { send, closed, statuses } = caller();
      send(requestText('one', kind) + requestText('two', kind));
      await waitUntil('both are passed on', () => upstream.requests.length === 2);
      announceEnd(LONG_GRACE_MILLISECONDS);
      for (const request of upstream.requests) answerWhole(request);
      await closed();
      assert.deepEqual(statuses(), ['200', '200']);
    });
  }

  it('is passed on if its stream usually ends in time, though it may be much longer', async () => {
    await using disposables = createDisposalStack();
    const engine = {
      slots: 1,
      stepMilliseconds: 10,
      stepPerRequestMilliseconds: 0,
      readTokensPerSecond: 1_000,
      usualAnswer: 10,
    } as EngineRules;
    const { caller, respondWith, announceEnd } = await startEntry(
      disposables,
      ({ clusterView, dialect }) => {
        const service = () => ({ name: 's', maximumConnections: 100, engine, origin: null });
        const table = { ...clusterView.table, service } as unknown as RouteTable;
        return {
          clusterView: { ...clusterView, table },
          dialect: {
            ...dialect,
            readCaller: (headers) => ({ ...dialect.readCaller(headers), answerTokens: 1_000 }),
          },
        };
      },
    );
    respondWith(answerWhole);
    announceEnd(SHORT_GRACE_MILLISECONDS);
    const { send, closed, statuses } = caller();
    send(requestText('one', 'stream'));
    await closed();
    assert.deepEqual(statuses(), ['200']);
  });

  it('is not passed on behind an answer that ends the connection', async () => {
    await using disposables = createDisposalStack();
    const { upstream, caller, announceEnd } = await startEntry(disposables);
    const { send, closed, received, statuses } = caller();
    send(requestText('one', 'stream'));
    await waitUntil('it is passed on', () => upstream.requests.length === 1);
    announceEnd(LONG_GRACE_MILLISECONDS);
    const [first] = upstream.requests;
    assert.ok(first);
    beginStream(first);
    await waitUntil('the answer has begun', () => received().includes('data: done'));
    send(requestText('two', 'once'));
    await pause(ARRIVAL_MILLISECONDS);
    assert.equal(upstream.requests.length, 1);
    first.socket.end();
    await closed();
    assert.deepEqual(statuses(), ['200']);
  });

  it('is cut so that it looks incomplete if it is a stream that has begun', async () => {
    await using disposables = createDisposalStack();
    const { server, caller, respondWith, announceEnd } = await startEntry(disposables);
    respondWith(beginStream);
    const { send, closed, received } = caller();
    send(requestText('one', 'stream'));
    await waitUntil('the answer has begun', () => received().includes('data: done'));
    announceEnd(LONG_GRACE_MILLISECONDS);
    server.stopListening();
    await server[Symbol.asyncDispose]();
    await closed();
    assert.doesNotMatch(received(), /0\r\n\r\n$/u);
  });

  it('is refused and never sent if it waits for a slot when the process ends', async () => {
    await using disposables = createDisposalStack();
    const { slots, held } = createHeldSlots();
    const { upstream, server, caller, announceEnd } = await startEntry(
      disposables,
      undefined,
      slots,
    );
    const { send, closed, statuses } = caller();
    send(requestText('one', 'stream'));
    await waitUntil('it waits', () => held.length === 1);
    announceEnd(LONG_GRACE_MILLISECONDS);
    server.stopListening();
    await server[Symbol.asyncDispose]();
    held[0]?.({ kind: 'granted', slot: createSlot('u', upstream.port) });
    await closed();
    await pause(ARRIVAL_MILLISECONDS);
    assert.deepEqual(statuses(), ['503']);
    assert.equal(upstream.requests.length, 0);
  });

  it('is refused while it waits for a slot as soon as it would outlast the process', async () => {
    await using disposables = createDisposalStack();
    const { slots, held } = createHeldSlots();
    const { upstream, caller, announceEnd } = await startEntry(disposables, undefined, slots);
    const { send, closed, statuses } = caller();
    send(requestText('one', 'stream'));
    await waitUntil('it waits', () => held.length === 1);
    announceEnd(SHORT_GRACE_MILLISECONDS);
    await closed();
    assert.deepEqual(statuses(), ['503']);
    held[0]?.({ kind: 'granted', slot: createSlot('u', upstream.port) });
    await pause(ARRIVAL_MILLISECONDS);
    assert.equal(upstream.requests.length, 0);
  });

  it('has a deadline at its upstream that ends with the process', async () => {
    await using disposables = createDisposalStack();
    const { upstream, caller, respondWith, announceEnd } = await startEntry(
      disposables,
      ({ dialect }) => ({
        dialect: {
          ...dialect,
          attemptHeaders: ({ deadlineMilliseconds }) => [
            ['x-deadline', String(deadlineMilliseconds)],
          ],
        },
      }),
    );
    respondWith(answerWhole);
    for (const id of ['one', 'two']) {
      const { send, received } = caller();
      send(requestText(id, 'once'));
      await waitUntil(`${id} is answered`, () => received().includes('done'));
      announceEnd(SHORT_GRACE_MILLISECONDS);
    }
    const deadlines = upstream.requests.map(({ text }) =>
      Number(/x-deadline: (\d+)/u.exec(text)?.[1]),
    );
    assert.equal(deadlines.length, 2);
    assert.ok(deadlines[1] !== undefined && deadlines[1] <= SHORT_GRACE_MILLISECONDS);
  });
});
