import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { AttemptStart } from '@burdockrail/protocol/protocolAttempt.js';
import { createAttemptTable } from '../src/attemptTable.js';

function startOf(attemptId: string, agentIncarnation?: string): AttemptStart {
  return {
    attemptId,
    service: 'kasa',
    team: 'registry',
    priority: 1,
    method: 'POST',
    path: '/charge',
    headers: {},
    body: new Uint8Array(),
    timeoutMilliseconds: 1_000,
    ...(agentIncarnation === undefined ? {} : { agentIncarnation }),
  };
}

const answer = { status: 200, headers: {}, body: new Uint8Array([1]) };
const fence = (attemptId: string) => ({ attemptId, agentIncarnation: 'one' });

describe('the table of attempts', () => {
  it('starts a non-repeatable attempt once and only under the incarnation it names', () => {
    const table = createAttemptTable('one');
    assert.equal(table.start(startOf('a', 'other'), 0).kind, 'refuse');
    assert.equal(table.start(startOf('a', 'one'), 0).kind, 'start');
    assert.deepEqual(table.start(startOf('a', 'one'), 1), {
      kind: 'refuse',
      code: ResultCode.ClaimInProgress,
      run: 'unknown',
    });
  });

  it('never starts an attempt that was fenced before', () => {
    const table = createAttemptTable('one');
    assert.deepEqual(table.fence(fence('a'), 0), { kind: 'fenced' });
    assert.deepEqual(table.start(startOf('a', 'one'), 1), {
      kind: 'refuse',
      code: ResultCode.ClaimFenced,
      run: 'not-run',
    });
  });

  it('tells a fence how far the attempt went', () => {
    const table = createAttemptTable('one');
    table.start(startOf('a', 'one'), 0);
    assert.deepEqual(table.fence(fence('a'), 0), { kind: 'running' });
    table.finish('a', { kind: 'finished', answer }, 1);
    assert.deepEqual(table.fence(fence('a'), 2), { kind: 'finished', answer });
    table.start(startOf('b', 'one'), 2);
    table.finish('b', { kind: 'failed', run: 'unknown' }, 3);
    assert.deepEqual(table.fence(fence('b'), 4), { kind: 'unknown' });
    const other = { attemptId: 'a', agentIncarnation: 'two' };
    assert.deepEqual(table.fence(other, 5), { kind: 'other-incarnation' });
  });

  it('says unknown, not fenced, once it has forgotten started attempts', () => {
    const table = createAttemptTable('one', 2);
    for (const attemptId of ['a', 'b', 'c']) {
      table.start(startOf(attemptId, 'one'), 0);
      table.finish(attemptId, { kind: 'finished', answer }, 0);
    }
    table.start(startOf('d', 'one'), 1);
    assert.deepEqual(table.fence(fence('a'), 2), { kind: 'unknown' });
    assert.deepEqual(table.fence(fence('d'), 2), { kind: 'running' });
  });
});
