import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createDisposalStack } from '@burdockrail/common/disposalStack.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { createFakeAgent, startEntry, type AttemptHandler } from './entryFixture.js';

/** Attempts per request of a service that an entry may make, and retries besides at its start. */
const MAXIMUM_ATTEMPTS_PER_REQUEST = 1.2;
const INITIAL_RETRIES = 3;

const UPSTREAMS = 4;
const REQUESTS = 40;

describe('the retry budget of an entry', () => {
  it(
    'bounds the attempts of non-repeatable requests that upstreams refuse',
    { timeout: 30_000 },
    async () => {
      let attempts = 0;
      const refuse: AttemptHandler = async ({ attemptId }, send) => {
        attempts += 1;
        const code = ResultCode.Overloaded;
        const refused = { code, run: 'not-run', detail: 'full', upstreamCrashed: false } as const;
        await send({ kind: 'failed', attemptId, ...refused });
      };
      await using agents = createDisposalStack();
      const announcements = await Promise.all(
        Array.from({ length: UPSTREAMS }, async (_value, index) => {
          const agent = await createFakeAgent(`agent-${index}`, refuse, { service: 'ledger' });
          return agents.use(agent).announcement;
        }),
      );
      await using entry = await startEntry(announcements);
      for (let request = 0; request < REQUESTS; request += 1) {
        const response = await fetch(`${entry.url}/services/ledger/deposit`, {
          method: 'POST',
          headers: { 'burdockrail-team': 'desk' },
          body: '{"amount":5}',
        });
        assert.equal(response.headers.get('burdockrail-run'), 'not-run');
        await response.arrayBuffer();
      }
      const allowed = MAXIMUM_ATTEMPTS_PER_REQUEST * REQUESTS + INITIAL_RETRIES;
      assert.ok(attempts <= allowed, `${attempts} attempts for ${REQUESTS} requests`);
      assert.ok(attempts > REQUESTS, 'some are repeated');
    },
  );
});
