import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import { createDisposalStack } from '@burdockrail/common/disposalStack.js';
import { startTwoUpstreamEntry } from './twoUpstreamEntry.js';

/** Longest wait for a condition, in milliseconds. */
const WAIT_MILLISECONDS = 5_000;

/** Time after which an upstream that was full is used again, in milliseconds. */
const FULL_MILLISECONDS = 100;

/** Time in which a request reaches the pool of its upstream, in milliseconds. */
const ARRIVAL_MILLISECONDS = 200;

async function waitUntil(description: string, condition: () => boolean): Promise<void> {
  const deadline = performance.now() + WAIT_MILLISECONDS;
  while (!condition()) {
    if (performance.now() > deadline) throw new Error(`timed out waiting until ${description}`);
    await pause(5);
  }
}

const leaving = { 'x-leaving': '1' };

const paths = [
  { name: 'a stream', path: '/' },
  { name: 'a buffered answer', path: '/plain/' },
] as const;

describe('an upstream that says in an answer that it leaves', () => {
  for (const { name, path } of paths) {
    it(`gets no later request after ${name}, although the directory says that it is ready`, async () => {
      await using disposables = createDisposalStack();
      const { near, far, directory, events, send } = await startTwoUpstreamEntry(disposables);
      near.respond = (request) => {
        request.answer(200, leaving);
      };
      assert.equal((await send('first', path)).status, 200);
      assert.deepEqual(
        near.received.map(({ id }) => id),
        ['first'],
      );
      for (const { path: later } of [...paths, ...paths])
        assert.equal((await send('later', later)).status, 200);
      assert.equal(near.received.length, 1);
      assert.equal(far.received.length, 4);
      assert.equal(directory.ready('s').length, 2);
      assert.equal(events.filter((event) => event === 'upstreamLeaving').length, 1);
    });

    for (const status of [421, 503])
      it(`gets no later request after it has refused ${name} with status ${status}`, async () => {
        await using disposables = createDisposalStack();
        const { near, far, send } = await startTwoUpstreamEntry(disposables);
        near.respond = (request) => {
          request.answer(status, { ...leaving, 'x-not-run': 'yes' });
        };
        for (const id of ['one', 'two', 'three']) {
          assert.equal((await send(id, path)).status, 200);
          // An upstream that refuses a request is avoided for a moment in any case.
          await pause(FULL_MILLISECONDS);
        }
        assert.deepEqual(
          near.received.map(({ id }) => id),
          ['one'],
        );
        assert.equal(far.received.length, 3);
      });

    it(`is served again as another incarnation, after ${name}`, async () => {
      await using disposables = createDisposalStack();
      const { near, send, restartNear } = await startTwoUpstreamEntry(disposables);
      near.respond = (request) => {
        request.answer(200, leaving);
      };
      await send('first', path);
      near.respond = (request) => {
        request.answer();
      };
      await send('second', path);
      assert.equal(near.received.length, 1);
      restartNear();
      await send('third', path);
      await send('fourth', path);
      assert.deepEqual(
        near.received.map(({ id }) => id),
        ['first', 'third', 'fourth'],
      );
    });

    it(`is not missed when all leave: ${name} is refused at once and nothing is sent`, async () => {
      await using disposables = createDisposalStack();
      const { near, far, send } = await startTwoUpstreamEntry(disposables);
      for (const upstream of [near, far])
        upstream.respond = (request) => {
          request.answer(200, leaving);
        };
      await send('first', path);
      await send('second', path);
      const refused = await send('third', path);
      assert.equal(refused.status, 503);
      assert.match(refused.body, /no engine|no upstream is ready/u);
      assert.equal(near.received.length + far.received.length, 2);
    });

    it(`is not recognised by ${name} of another request`, async () => {
      await using disposables = createDisposalStack();
      const { near, far, events, send } = await startTwoUpstreamEntry(disposables);
      const countLeaving = () => events.filter((event) => event === 'upstreamLeaving').length;
      near.respond = (request) => {
        if (request.id === 'foreign') request.answer(200, { ...leaving, 'x-request': 'other' });
        else request.answer();
      };
      // Without another upstream the first one is used even while it is suspended.
      far.respond = (request) => {
        request.answer(200, leaving);
      };
      assert.equal((await send('foreign', path)).status, 200);
      assert.equal(countLeaving(), 1);
      assert.equal((await send('own', path)).status, 200);
      assert.deepEqual(
        near.received.map(({ id }) => id),
        ['foreign', 'own'],
      );
      assert.equal(countLeaving(), 1);
    });
  }

  it('completes the streams that it runs while later ones go elsewhere', async () => {
    await using disposables = createDisposalStack();
    const { near, far, send } = await startTwoUpstreamEntry(disposables);
    near.respond = (request) => {
      request.begin(leaving);
    };
    const running = send('running', '/');
    await waitUntil('the stream has begun', () => near.received.length === 1);
    await send('unrelated', '/plain/');
    await waitUntil('the other has been answered', () => far.received.length === 1);
    near.received[0]?.end();
    const { status, body } = await running;
    assert.equal(status, 200);
    assert.equal(body, 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n');
    assert.equal(near.received.length, 1);
  });

  it('gets no stream that was waiting for its slot', async () => {
    await using disposables = createDisposalStack();
    const { near, far, send, holdClaims } = await startTwoUpstreamEntry(disposables);
    near.respond = null;
    const first = send('first', '/plain/');
    await waitUntil('the first request has arrived', () => near.received.length === 1);
    const claims = holdClaims();
    const waiting = send('waiting', '/');
    await waitUntil('the other waits for a slot', () => claims.waiting() === 1);
    near.received[0]?.answer(200, leaving);
    await first;
    claims.release();
    assert.equal((await waiting).status, 200);
    assert.equal(near.received.length, 1);
    assert.deepEqual(
      far.received.map(({ id }) => id),
      ['waiting'],
    );
  });

  for (const { name, path } of paths) {
    it(`gets no request for ${name} that was waiting for a connection`, async () => {
      await using disposables = createDisposalStack();
      const { near, far, send } = await startTwoUpstreamEntry(disposables);
      near.respond = null;
      const running = [send('one', path), send('two', path)];
      await waitUntil('two requests have arrived', () => near.received.length === 2);
      const waiting = send('waiting', path);
      await pause(ARRIVAL_MILLISECONDS);
      assert.equal(far.received.length, 0);
      near.received[0]?.answer(200, leaving);
      assert.equal((await waiting).status, 200);
      near.received[1]?.answer(200, leaving);
      for (const answer of await Promise.all(running)) assert.equal(answer.status, 200);
      assert.equal(near.received.length, 2);
      assert.deepEqual(
        far.received.map(({ id }) => id),
        ['waiting'],
      );
    });
  }
});
