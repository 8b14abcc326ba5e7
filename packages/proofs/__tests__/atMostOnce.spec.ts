import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ResultCode } from '@burdockrail/common/resultCode.js';

import { deposit, outcomeOf, runsOf, startDepositSystem } from './depositSystem.js';

describe('a deposit sent again through another entry', () => {
  it('runs once, and each sending gets its answer', async () => {
    await using system = await startDepositSystem();
    const first = await deposit(system, 'entry-serra-leste-1', 'k1');
    const second = await deposit(system, 'entry-litoral-norte-1', 'k1');
    assert.equal(first?.code, ResultCode.Ok);
    assert.equal(second?.code, ResultCode.Ok);
    assert.equal(second.text, first.text);
    assert.equal(await runsOf(system, 'k1'), 1);
    assert.equal(await outcomeOf(system, 'entry-sul-lagoa-1', 'k1'), 'ran');
    const differs = await deposit(system, 'entry-sul-lagoa-1', 'k1', '{"amount":41}');
    assert.equal(differs?.code, ResultCode.ClaimBodyDiffers);
    assert.equal(await runsOf(system, 'k1'), 1);
  });
});
