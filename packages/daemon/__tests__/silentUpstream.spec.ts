import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createDisposalStack } from '@burdockrail/common/disposalStack.js';
import { concatBody, createFixture, encodeEvent, streamHeaders } from './attemptServiceFixture.js';

/** Longer than a sound upstream pauses, in milliseconds. */
const SILENCE_MILLISECONDS = 1_500;

const timeoutMilliseconds = 10_000;

describe('an attempt whose upstream falls silent for a while', { timeout: 30_000 }, () => {
  it('is not cut within its stream', async () => {
    await using disposables = createDisposalStack();
    let requests = 0;
    const { run } = await createFixture(disposables, (_request, response) => {
      requests += 1;
      response.writeHead(200, streamHeaders);
      response.write(encodeEvent(0, 'a'));
      setTimeout(() => {
        response.end(encodeEvent(1, 'b') + encodeEvent(2, '[DONE]'));
      }, SILENCE_MILLISECONDS);
    });
    const items = await run({ timeoutMilliseconds });
    assert.equal(items.at(-1)?.kind, 'end');
    assert.equal(
      concatBody(items),
      encodeEvent(0, 'a') + encodeEvent(1, 'b') + encodeEvent(2, '[DONE]'),
    );
    assert.equal(requests, 1);
  });

  it('is answered when it is silent before its head', async () => {
    await using disposables = createDisposalStack();
    let requests = 0;
    const { run } = await createFixture(disposables, (_request, response) => {
      requests += 1;
      setTimeout(() => {
        response.writeHead(200, { ...streamHeaders, 'content-type': 'text/plain' });
        response.end('whole');
      }, SILENCE_MILLISECONDS);
    });
    const items = await run({ timeoutMilliseconds });
    assert.equal(items.at(-1)?.kind, 'end');
    assert.equal(concatBody(items), 'whole');
    assert.equal(requests, 1);
  });
});
