import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { LedgerCommand } from '@burdockrail/protocol/protocolLedger.js';
import { defaultLedgerBounds } from '../src/ledgerBounds.js';
import { createLedgerState } from '../src/ledgerState.js';

const position = { index: 1, term: 1 };
const address = { host: '127.0.0.1', port: 1 };

function keyNamed(key: string) {
  return { team: 'desk', service: 'kasa', key };
}

function claimOf(key: string, attemptId: string, at: number): LedgerCommand {
  const attempt = { attemptId, agent: 'agent', agentIncarnation: '1', address };
  return { kind: 'claim', key: keyNamed(key), digest: 'd', attempt, receivedAt: at, at };
}

function recordOf(key: string, attemptId: string, bytes: number, at: number): LedgerCommand {
  const answer = { status: 200, headers: {}, body: new Uint8Array(bytes) };
  return { kind: 'record', key: keyNamed(key), attemptId, answer, at };
}

describe('the ledger state', () => {
  it('refuses a key with another body and scopes keys to team and service', () => {
    const ledger = createLedgerState();
    const first = claimOf('k', 'a', 1);
    assert.equal(ledger.apply(first, position).kind, 'granted');
    const other = { ...claimOf('k', 'b', 1), digest: 'other' } as LedgerCommand;
    assert.equal(ledger.apply(other, position).kind, 'body-differs');
    const elsewhere = { ...first, key: { ...first.key, team: 'piers' } };
    assert.equal(ledger.apply(elsewhere, position).kind, 'granted');
  });

  it('keeps an answer up to its bound and tells that a larger one ran', () => {
    const ledger = createLedgerState();
    for (const [key, bytes] of [
      ['small', defaultLedgerBounds.answerBytes],
      ['large', defaultLedgerBounds.answerBytes + 1],
    ] as const) {
      ledger.apply(claimOf(key, key, 1), position);
      ledger.apply(recordOf(key, key, bytes, 2), position);
    }
    const bodyOf = (key: string): number | undefined => {
      const view = ledger.query({ kind: 'view', key: keyNamed(key) });
      return view.kind === 'finished' ? view.answer.body?.length : -1;
    };
    assert.equal(bodyOf('small'), defaultLedgerBounds.answerBytes);
    assert.equal(bodyOf('large'), undefined);
  });

  it('drops the oldest bodies above the total, and never the outcomes', () => {
    const ledger = createLedgerState({ ...defaultLedgerBounds, totalAnswerBytes: 250 });
    for (const key of ['one', 'two', 'three']) {
      ledger.apply(claimOf(key, key, 1), position);
      ledger.apply(recordOf(key, key, 100, 1), position);
    }
    const kept = ['one', 'two', 'three'].map((key) => {
      const view = ledger.query({ kind: 'view', key: keyNamed(key) });
      return view.kind === 'finished' ? (view.answer.body?.length ?? 0) : -1;
    });
    assert.deepEqual(kept, [0, 100, 100]);
  });

  it('forgets keys after the retention, but not for one clock that runs ahead', () => {
    const ledger = createLedgerState();
    const retention = defaultLedgerBounds.retentionMilliseconds;
    const held = () => ledger.query({ kind: 'view', key: keyNamed('k') }).kind;
    ledger.apply(claimOf('k', 'k', 1), position);
    for (let round = 0; round < 10; round += 1) {
      ledger.apply(claimOf(`early-${round}`, 'a', 2), position);
      if (round % 3 === 0) ledger.apply(claimOf(`fast-${round}`, 'a', 10 * retention), position);
    }
    assert.equal(held(), 'open');
    for (let round = 0; round < 20; round += 1) {
      ledger.apply(claimOf(`late-${round}`, 'a', 3 + retention), position);
    }
    assert.equal(held(), 'absent');
  });

  it('goes on from a snapshot as the state that it was taken of', () => {
    const bounds = { ...defaultLedgerBounds, totalAnswerBytes: 250, keys: 40 };
    const original = createLedgerState(bounds);
    const restored = createLedgerState(bounds);
    for (let round = 0; round < 60; round += 1) {
      const key = `k${round % 50}`;
      const commands = [claimOf(key, key, round), recordOf(key, key, round, round)];
      if (round === 30) restored.restore(structuredClone(original.snapshot()));
      for (const command of commands) {
        const result = original.apply(command, position);
        if (round >= 30) assert.deepEqual(restored.apply(command, position), result);
      }
    }
    assert.deepEqual(restored.snapshot(), original.snapshot());
  });
});
