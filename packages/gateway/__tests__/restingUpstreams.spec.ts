import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import { createDisposalStack } from '@burdockrail/common/disposalStack.js';
import {
  playEntry,
  refusing,
  sound,
  type Answer,
  type PlayedEntry,
} from './restingUpstreamsFixture.js';

/** Both ways of an entry to its upstreams. */
const paths = { stream: '/', plain: '/plain/' } as const;

function arrivalsOf(entry: PlayedEntry, index: number): number {
  return entry.upstreams[index]?.arrivals ?? 0;
}

/** Longer than an upstream at capacity is spared, in milliseconds. */
const PAUSE_MILLISECONDS = 40;

/** Longest wait for a condition, in milliseconds. */
const WAIT_MILLISECONDS = 5_000;

async function waitUntil(description: string, condition: () => boolean): Promise<void> {
  const deadline = performance.now() + WAIT_MILLISECONDS;
  while (!condition()) {
    if (performance.now() > deadline) throw new Error(`timed out waiting until ${description}`);
    await pause(2);
  }
}

/** Holds back answers until they are sent one by one, in the order of the requests. */
function createHeldAnswers(): { readonly hold: Answer; send(index: number, answer: Answer): void } {
  const held: ((answer: Answer) => void)[] = [];
  return {
    hold: (response, requestId) => {
      held.push((answer) => {
        answer(response, requestId);
      });
    },
    send: (index, answer) => {
      held[index]?.(answer);
    },
  };
}

for (const [kind, path] of Object.entries(paths)) {
  describe(`an upstream that rests, ${kind}`, () => {
    it('gets no request that arrives while it rests', async () => {
      await using disposables = createDisposalStack();
      const entry = await playEntry(disposables, [refusing('30'), sound]);
      for (let index = 0; index < 10; index += 1) {
        assert.equal((await entry.ask(path)).status, 200);
        await pause(PAUSE_MILLISECONDS);
      }
      assert.equal(arrivalsOf(entry, 0), 1);
    });

    it('does not use up the retries of requests that others can serve', async () => {
      await using disposables = createDisposalStack();
      const answers = [refusing('30'), sound];
      const entry = await playEntry(disposables, answers, { maximumRetries: 1 });
      let served = 0;
      for (let index = 0; index < 10; index += 1) {
        if ((await entry.ask(path)).status === 200) served += 1;
        await pause(PAUSE_MILLISECONDS);
      }
      assert.equal(served, 10);
    });

    it('gets no request that waited for a connection; it goes elsewhere without a retry', async () => {
      await using disposables = createDisposalStack();
      const held = createHeldAnswers();
      const entry = await playEntry(disposables, [held.hold, sound], { maximumConnections: 1 });
      const replies = [entry.ask(path), entry.ask(path)];
      await waitUntil('two requests have arrived', () => arrivalsOf(entry, 0) === 2);
      replies.push(entry.ask(path), entry.ask(path));
      await pause(PAUSE_MILLISECONDS);
      assert.equal(arrivalsOf(entry, 1), 0);
      held.send(0, refusing('30'));
      held.send(1, refusing('30'));
      for (const reply of await Promise.all(replies)) assert.equal(reply.status, 200);
      assert.equal(arrivalsOf(entry, 0), 2);
      assert.equal(entry.retriesPaid(), 2);
      assert.equal(entry.slots.released, entry.slots.claimed);
    });

    it('is awaited by callers for as long as it rests if there is no other', async () => {
      await using disposables = createDisposalStack();
      const entry = await playEntry(disposables, [refusing('0.4')]);
      await entry.ask(path);
      await pause(PAUSE_MILLISECONDS);
      const { status, retryAfterSeconds } = await entry.ask(path);
      assert.equal(status, 503);
      assert.ok(retryAfterSeconds !== null && retryAfterSeconds > 0.2 && retryAfterSeconds <= 0.4);
      assert.equal(arrivalsOf(entry, 0), 1);
      await pause(400);
      await entry.ask(path);
      assert.equal(arrivalsOf(entry, 0), 2);
    });

    it('goes on resting after an answer that overtook the refusal, whatever that says', async () => {
      await using disposables = createDisposalStack();
      const held = createHeldAnswers();
      const entry = await playEntry(disposables, [held.hold]);
      const replies = [entry.ask(path), entry.ask(path), entry.ask(path)];
      await waitUntil('all have arrived', () => arrivalsOf(entry, 0) === 3);
      held.send(0, refusing('30'));
      await replies[0];
      held.send(1, refusing('0.01'));
      held.send(2, sound);
      await Promise.all(replies);
      await pause(PAUSE_MILLISECONDS);
      assert.equal((await entry.ask(path)).status, 503);
      assert.equal(arrivalsOf(entry, 0), 3);
    });

    it('gets requests again after a restart', async () => {
      await using disposables = createDisposalStack();
      const entry = await playEntry(disposables, [refusing('30')]);
      await entry.ask(path);
      const [upstream] = entry.upstreams;
      assert.ok(upstream !== undefined);
      await pause(PAUSE_MILLISECONDS);
      assert.equal((await entry.ask(path)).status, 503);
      assert.equal(arrivalsOf(entry, 0), 1);
      upstream.startedAt += 1;
      upstream.answer = sound;
      assert.equal((await entry.ask(path)).status, 200);
    });

    it('is asked half as often each time that it turns the first request after a rest away', async () => {
      await using disposables = createDisposalStack();
      const entry = await playEntry(disposables, [refusing('0.1'), sound]);
      const beganAt = performance.now();
      while (performance.now() - beganAt < 1_400) {
        assert.equal((await entry.ask(path)).status, 200);
        await pause(PAUSE_MILLISECONDS / 2);
      }
      // After 0, 100, 300 and 700 ms at the earliest; the next one would be after 1500 ms.
      assert.ok(arrivalsOf(entry, 0) <= 4, `${arrivalsOf(entry, 0)} requests`);
    });

    for (const [what, answer] of [
      ['a refusal with another status', refusing('30', 429)],
      ['a refusal of another request', refusing('30', 503, 'other')],
      ['a refusal with a date', refusing('Fri, 04 Dec 2026 20:36:06 GMT')],
      ['a refusal with a negative time', refusing('-30')],
    ] as const) {
      it(`is not known from ${what}`, async () => {
        await using disposables = createDisposalStack();
        const entry = await playEntry(disposables, [answer]);
        await entry.ask(path);
        await pause(PAUSE_MILLISECONDS);
        await entry.ask(path);
        assert.equal(arrivalsOf(entry, 0), 2);
      });
    }
  });
}

describe('an engine that rests', () => {
  it('is reported to its agent once, which tells other entries', async () => {
    await using disposables = createDisposalStack();
    const entry = await playEntry(disposables, [refusing('2.5'), sound]);
    assert.equal((await entry.ask(paths.stream)).status, 200);
    await entry.ask(paths.stream);
    assert.deepEqual(entry.slots.rests, [{ engine: 'upstream-0', restMilliseconds: 2_500 }]);
  });
});

describe('a stream whose engine began to rest while its agent granted a slot', () => {
  it('runs at another engine without a retry, and the slot is released', async () => {
    await using disposables = createDisposalStack();
    const held = createHeldAnswers();
    const entry = await playEntry(disposables, [held.hold, sound]);
    const first = entry.ask(paths.stream);
    await waitUntil('one has arrived', () => arrivalsOf(entry, 0) === 1);
    let grant = (): void => undefined;
    entry.holdClaims(
      new Promise((resolve) => {
        grant = resolve;
      }),
    );
    const second = entry.ask(paths.stream);
    await waitUntil('it has claimed', () => entry.slots.claimed === 2);
    held.send(0, refusing('30'));
    await pause(PAUSE_MILLISECONDS);
    grant();
    assert.equal((await first).status, 200);
    assert.equal((await second).status, 200);
    assert.equal(arrivalsOf(entry, 0), 1);
    assert.equal(entry.retriesPaid(), 1);
    assert.equal(entry.slots.released, entry.slots.claimed);
  });
});
