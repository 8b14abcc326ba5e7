import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import { createDisposalStack } from '@burdockrail/common/disposalStack.js';
import { kinds, requestText, startEntry, waitUntil } from './stoppingEntryFixture.js';

/** Time in which a caller that has left is noticed, in milliseconds. */
const NOTICE_MILLISECONDS = 500;

describe('a request behind another one on a connection whose caller leaves', () => {
  for (const kind of kinds) {
    it(`is no longer in progress (${kind})`, async () => {
      await using disposables = createDisposalStack();
      const { upstream, server, caller, respondWith } = await startEntry(disposables);
      let openRequests = 0;
      respondWith(({ socket }) => {
        openRequests += 1;
        socket.once('close', () => {
          openRequests -= 1;
        });
      });
      const connection = caller();
      connection.send(requestText('first', kind) + requestText('second', kind));
      await waitUntil('both requests are at the upstream', () => openRequests === 2);
      connection.leave();
      await pause(NOTICE_MILLISECONDS);
      assert.ok(upstream.port > 0);
      assert.equal(openRequests, 0, 'requests that the upstream still works on');
      assert.equal(server.inProgress, 0, 'requests that the entry counts as in progress');
    });
  }
});
