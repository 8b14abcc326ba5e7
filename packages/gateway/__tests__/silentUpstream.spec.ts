import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { describe, it } from 'node:test';
import { createUpstreamConnections } from '../src/upstreamConnections.js';
import { createEntryContext, createRetryBudget } from './entryContextFixture.js';
import {
  FIRST_SILENCE_MILLISECONDS,
  SILENCE_MILLISECONDS,
  closed,
  event,
  pauseBeforeStream,
  pauseWithinStream,
  playStream,
  refusal,
  signedHead,
  startEngine,
} from './silentStreamFixture.js';

describe('a stream whose engine falls silent for a while', { timeout: 60_000 }, () => {
  it('is not cut when no other engine has a free slot', async () => {
    await using engine = await startEngine(pauseWithinStream);
    const { received, end, unreleased } = await playStream({ grants: [engine.port] });
    assert.equal(end, 'finished');
    assert.equal(received, event(1) + event(2) + event(3) + event(4));
    assert.equal(unreleased, 0);
  });

  it('is not cut when the retry budget is spent', async () => {
    await using engine = await startEngine(pauseWithinStream);
    await using other = await startEngine(pauseWithinStream);
    const retryBudget = createRetryBudget(() => false);
    const { received, end, unreleased } = await playStream({
      grants: [engine.port, other.port, other.port],
      changes: { retryBudget },
    });
    assert.equal(end, 'finished');
    assert.equal(received, event(1) + event(2) + event(3) + event(4));
    assert.equal(other.requests.length, 0);
    assert.equal(unreleased, 0);
  });

  it('is not cut when its attempts are used up', async () => {
    await using engine = await startEngine(pauseWithinStream);
    const { received, end } = await playStream({ grants: [engine.port], attempts: 1 });
    assert.equal(end, 'finished');
    assert.equal(received, event(1) + event(2) + event(3) + event(4));
  });

  it('is not cut when the next engine refuses it', async () => {
    await using engine = await startEngine(pauseWithinStream);
    await using other = await startEngine(async (socket) => {
      socket.end(refusal('503 Service Unavailable'));
      return Promise.resolve();
    });
    const { received, end, unreleased } = await playStream({ grants: [engine.port, other.port] });
    assert.equal(other.requests.length, 1);
    assert.equal(end, 'finished');
    assert.equal(received, event(1) + event(2) + event(3) + event(4));
    assert.equal(unreleased, 0);
  });

  it('is not cut when the next engine fails', async () => {
    await using engine = await startEngine(pauseWithinStream);
    await using other = await startEngine(async (socket) => {
      socket.destroy();
      return Promise.resolve();
    });
    const { received, end } = await playStream({ grants: [engine.port, other.port] });
    assert.equal(end, 'finished');
    assert.equal(received, event(1) + event(2) + event(3) + event(4));
  });

  it('is not cut when the next engine falls silent too', async () => {
    await using engine = await startEngine(pauseWithinStream);
    await using other = await startEngine(async (socket) => {
      await closed(socket);
    });
    const { received, end, unreleased } = await playStream({ grants: [engine.port, other.port] });
    assert.equal(end, 'finished');
    assert.equal(received, event(1) + event(2) + event(3) + event(4));
    await other.closedByEntry;
    assert.equal(unreleased, 0);
  });

  const emptyAnswers = {
    'with a length': 'content-length: 0\r\n\r\n',
    'in chunks': 'transfer-encoding: chunked\r\n\r\n0\r\n\r\n',
  };
  for (const [framing, emptyAnswer] of Object.entries(emptyAnswers)) {
    it(`is not ended when the next engine answers ${framing} without an event`, async () => {
      await using engine = await startEngine(pauseWithinStream);
      await using other = await startEngine(async (socket) => {
        socket.end(signedHead.slice(0, -2) + emptyAnswer);
        return Promise.resolve();
      });
      const { received, end, unreleased } = await playStream({
        grants: [engine.port, other.port],
      });
      assert.equal(other.requests.length, 1);
      assert.equal(end, 'finished');
      assert.equal(received, event(1) + event(2) + event(3) + event(4));
      assert.equal(unreleased, 0);
    });
  }

  it('is complete when the next engine states that no event follows and it breaks off', async () => {
    await using engine = await startEngine(async (socket) => {
      socket.write(signedHead + event(1) + event(2));
      await delay(SILENCE_MILLISECONDS);
      socket.destroy();
    });
    await using other = await startEngine(async (socket) => {
      socket.end(signedHead.slice(0, -2) + emptyAnswers['with a length']);
      return Promise.resolve();
    });
    const { received, end, unreleased } = await playStream({ grants: [engine.port, other.port] });
    assert.equal(other.requests.length, 1);
    assert.equal(end, 'finished');
    assert.equal(received, event(1) + event(2));
    assert.equal(unreleased, 0);
  });

  it('is answered when it falls silent before its first event and no other engine is free', async () => {
    await using engine = await startEngine(pauseBeforeStream);
    const { received, end } = await playStream({ grants: [engine.port] });
    assert.equal(end, 'finished');
    assert.equal(received, event(1) + event(2));
  });
});

describe('a stream whose engine stays silent', { timeout: 60_000 }, () => {
  const stayWithinStream = async (socket: Socket): Promise<void> => {
    socket.write(signedHead + event(1) + event(2));
    await closed(socket);
  };

  it('is resumed at another engine, whose first event ends the silent run', async () => {
    await using engine = await startEngine(stayWithinStream);
    await using other = await startEngine(async (socket) => {
      socket.end(signedHead + event(3) + event(4));
      return Promise.resolve();
    });
    const { received, end, verdicts, unreleased } = await playStream({
      grants: [engine.port, other.port],
    });
    assert.equal(end, 'finished');
    assert.equal(received, event(1) + event(2) + event(3) + event(4));
    assert.match(other.requests[0] ?? '', /last-event-id: 2\r\n/iu);
    await engine.closedByEntry;
    assert.deepEqual(verdicts, [
      ['engine-1', 'silent'],
      ['engine-2', 'answered'],
    ]);
    assert.equal(unreleased, 0);
  });

  it('is resumed at another engine although a byte arrives now and then', async () => {
    await using engine = await startEngine(async (socket) => {
      socket.write(signedHead + event(1));
      const timer = setInterval(() => socket.write('x'), 100);
      socket.once('close', () => {
        clearInterval(timer);
      });
      await closed(socket);
    });
    await using other = await startEngine(async (socket) => {
      socket.end(signedHead + event(2));
      return Promise.resolve();
    });
    const { received, end } = await playStream({ grants: [engine.port, other.port] });
    assert.equal(end, 'finished');
    assert.equal(received, event(1) + event(2));
    await engine.closedByEntry;
  });

  it('is resumed once a slot becomes free', async () => {
    await using engine = await startEngine(stayWithinStream);
    await using other = await startEngine(async (socket) => {
      socket.end(signedHead + event(3));
      return Promise.resolve();
    });
    const { received, end } = await playStream({ grants: [engine.port, null, other.port] });
    assert.equal(end, 'finished');
    assert.equal(received, event(1) + event(2) + event(3));
  });
});

describe('a stream whose caller reads slowly', { timeout: 60_000 }, () => {
  it('is not sent to another engine', async () => {
    await using engine = await startEngine(async (socket) => {
      for (const id of [1, 2, 3]) {
        socket.write(id === 1 ? signedHead + event(id) : event(id));
        await delay(100);
      }
      socket.end(event(4));
    });
    await using other = await startEngine(pauseWithinStream);
    const { received, end } = await playStream({
      grants: [engine.port, other.port],
      callerPauseMilliseconds: SILENCE_MILLISECONDS,
    });
    assert.equal(other.requests.length, 0);
    assert.equal(end, 'finished');
    assert.equal(received, event(1) + event(2) + event(3) + event(4));
  });

  it('is sent to another engine if its own falls silent once it reads again', async () => {
    await using engine = await startEngine(async (socket) => {
      socket.write(signedHead + event(1));
      await closed(socket);
    });
    await using other = await startEngine(async (socket) => {
      socket.end(signedHead + event(2));
      return Promise.resolve();
    });
    const { received, end } = await playStream({
      grants: [engine.port, other.port],
      callerPauseMilliseconds: 200,
    });
    assert.equal(end, 'finished');
    assert.equal(received, event(1) + event(2));
  });
});

describe('a stream whose caller leaves while two engines are silent', { timeout: 60_000 }, () => {
  it('does not count as a crash of either engine', async () => {
    await using engine = await startEngine(closed);
    await using other = await startEngine(closed);
    const losses: string[] = [];
    await using connections = createUpstreamConnections('127.0.0.1');
    const { quarantine } = createEntryContext(connections, '');
    const recordConnectionLoss = (_traits: unknown, upstream: string): void => {
      losses.push(upstream);
    };
    const { verdicts, unreleased } = await playStream({
      grants: [engine.port, other.port],
      changes: { quarantine: { ...quarantine, recordConnectionLoss } },
      signal: AbortSignal.timeout(FIRST_SILENCE_MILLISECONDS),
    });
    assert.equal(other.requests.length, 1);
    assert.deepEqual(losses, []);
    assert.ok(verdicts.every(([, verdict]) => verdict === 'silent'));
    assert.equal(unreleased, 0);
  });
});
