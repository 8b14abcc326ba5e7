import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { AttemptStart } from '@burdockrail/protocol/protocolAttempt.js';
import { createAttemptTable } from '../src/attemptTable.js';

function createStart(attemptId: string, agentIncarnation?: string): AttemptStart {
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
const fenceRequest = (attemptId: string) => ({ attemptId, agentIncarnation: 'one' });

describe('createAttemptTable', () => {
  it('starts a non-repeatable attempt once and only under the incarnation it names', () => {
    const table = createAttemptTable('one');
    assert.equal(table.start(createStart('a', 'other'), 0).kind, 'refuse');
    assert.equal(table.start(createStart('a', 'one'), 0).kind, 'start');
    assert.deepEqual(table.start(createStart('a', 'one'), 1), {
      kind: 'refuse',
      code: ResultCode.ClaimInProgress,
      run: 'unknown',
    });
  });

  it('never starts an attempt that was fenced earlier', () => {
    const table = createAttemptTable('one');
    assert.deepEqual(table.fence(fenceRequest('a'), 0), { kind: 'fenced' });
    assert.deepEqual(table.start(createStart('a', 'one'), 1), {
      kind: 'refuse',
      code: ResultCode.ClaimFenced,
      run: 'not-run',
    });
  });

  it('returns the state of the attempt when it is fenced', () => {
    const table = createAttemptTable('one');
    table.start(createStart('a', 'one'), 0);
    assert.deepEqual(table.fence(fenceRequest('a'), 0), { kind: 'running' });
    table.finish('a', { kind: 'finished', answer }, 1);
    assert.deepEqual(table.fence(fenceRequest('a'), 2), { kind: 'finished', answer });
    table.start(createStart('b', 'one'), 2);
    table.finish('b', { kind: 'failed', run: 'unknown' }, 3);
    assert.deepEqual(table.fence(fenceRequest('b'), 4), { kind: 'unknown' });
    const other = { attemptId: 'a', agentIncarnation: 'two' };
    assert.deepEqual(table.fence(other, 5), { kind: 'other-incarnation' });
  });

  it('returns unknown instead of fenced once it has evicted started attempts', () => {
    const table = createAttemptTable('one', 2);
    for (const attemptId of ['a', 'b', 'c']) {
      table.start(createStart(attemptId, 'one'), 0);
      table.finish(attemptId, { kind: 'finished', answer }, 0);
    }
    table.start(createStart('d', 'one'), 1);
    assert.deepEqual(table.fence(fenceRequest('a'), 2), { kind: 'unknown' });
    assert.deepEqual(table.fence(fenceRequest('d'), 2), { kind: 'running' });
  });
});
