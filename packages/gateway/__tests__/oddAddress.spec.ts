import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import { attemptBuffered } from '../src/bufferedAttempt.js';
import { startStream } from '../src/streamAttempt.js';
import { createUpstreamConnections } from '../src/upstreamConnections.js';
import { isConnectionRefused } from '../src/upstreamProbe.js';
import { createEntryContext, createSlot, ignoringObserver } from './entryContextFixture.js';
import { createPlayedRequest } from './entryRequestFixture.js';

const HOST = '127.0.0.1';
const ATTEMPT_MILLISECONDS = 20;
const ODD_PORTS = [65_536, 99_999];

describe('an upstream at an address that no socket can have', () => {
  for (const port of ODD_PORTS) {
    it(`gets no plain request, which may go elsewhere: port ${port}`, async () => {
      await using connections = createUpstreamConnections(HOST);
      const entry = createEntryContext(connections, `${HOST}:${port}`);
      const request = createPlayedRequest({ id: 'a', route: { kind: 'once' } });
      const upstream = { id: 'u', startedAt: 1, address: `${HOST}:${port}` };
      const outcome = await attemptBuffered(entry, request, upstream, ATTEMPT_MILLISECONDS);
      assert.equal(outcome.kind, 'notRun');
      // A timer that is left over would throw here.
      await pause(3 * ATTEMPT_MILLISECONDS);
    });

    it(`gets no stream, which may go elsewhere: port ${port}`, async () => {
      await using connections = createUpstreamConnections(HOST);
      const entry = createEntryContext(connections, '');
      const route = { kind: 'stream', resumable: true, pauseMilliseconds: 100 };
      const request = createPlayedRequest({ id: 'a', route });
      const stream = startStream(entry, request, createSlot('e', port), null, ignoringObserver);
      const outcome = await stream.outcome;
      assert.equal(outcome.kind, 'notRun');
    });

    it(`is not known to have crashed: port ${port}`, async () => {
      assert.equal(await isConnectionRefused({ host: HOST, port }, HOST), false);
    });
  }
});
