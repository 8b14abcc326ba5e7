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

function claimCommand(key: string, attemptId: string, at: number): LedgerCommand {
  const attempt = { attemptId, agent: 'agent', agentIncarnation: '1', address };
  return { kind: 'claim', key: keyNamed(key), digest: 'd', attempt, receivedAt: at, at };
}

function recordCommand(key: string, attemptId: string, bytes: number, at: number): LedgerCommand {
  const answer = { status: 200, headers: {}, body: new Uint8Array(bytes) };
  return { kind: 'record', key: keyNamed(key), attemptId, answer, at };
}

describe('the ledger state', () => {
  it('refuses a key with another body and scopes keys to team and service', () => {
    const ledger = createLedgerState();
    const first = claimCommand('k', 'a', 1);
    assert.equal(ledger.apply(first, position).kind, 'granted');
    const other = { ...claimCommand('k', 'b', 1), digest: 'other' } as LedgerCommand;
    assert.equal(ledger.apply(other, position).kind, 'body-differs');
    const elsewhere = { ...first, key: { ...first.key, team: 'piers' } };
    assert.equal(ledger.apply(elsewhere, position).kind, 'granted');
  });

  it('keeps a body up to the bound, and of a larger one only that the request finished', () => {
    const ledger = createLedgerState();
    for (const [key, bytes] of [
      ['small', defaultLedgerBounds.maximumAnswerBytes],
      ['large', defaultLedgerBounds.maximumAnswerBytes + 1],
    ] as const) {
      ledger.apply(claimCommand(key, key, 1), position);
      ledger.apply(recordCommand(key, key, bytes, 2), position);
    }
    const bodyOf = (key: string): number | undefined => {
      const view = ledger.query({ kind: 'view', key: keyNamed(key) });
      return view.kind === 'finished' ? view.answer.body?.length : -1;
    };
    assert.equal(bodyOf('small'), defaultLedgerBounds.maximumAnswerBytes);
    assert.equal(bodyOf('large'), undefined);
  });

  it('evicts the oldest bodies above the total size, but no outcomes', () => {
    const ledger = createLedgerState({ ...defaultLedgerBounds, maximumTotalAnswerBytes: 250 });
    for (const key of ['one', 'two', 'three']) {
      ledger.apply(claimCommand(key, key, 1), position);
      ledger.apply(recordCommand(key, key, 100, 1), position);
    }
    const kept = ['one', 'two', 'three'].map((key) => {
      const view = ledger.query({ kind: 'view', key: keyNamed(key) });
      return view.kind === 'finished' ? (view.answer.body?.length ?? 0) : -1;
    });
    assert.deepEqual(kept, [0, 100, 100]);
  });

  it('expires keys after the retention time, but not early when one clock runs ahead', () => {
    const ledger = createLedgerState();
    const retention = defaultLedgerBounds.retentionMilliseconds;
    const held = () => ledger.query({ kind: 'view', key: keyNamed('k') }).kind;
    ledger.apply(claimCommand('k', 'k', 1), position);
    for (let round = 0; round < 10; round += 1) {
      ledger.apply(claimCommand(`early-${round}`, 'a', 2), position);
      if (round % 3 === 0)
        ledger.apply(claimCommand(`fast-${round}`, 'a', 10 * retention), position);
    }
    assert.equal(held(), 'open');
    for (let round = 0; round < 20; round += 1) {
      ledger.apply(claimCommand(`late-${round}`, 'a', 3 + retention), position);
    }
    assert.equal(held(), 'absent');
  });

  it('behaves after a restore like the state that the snapshot was taken of', () => {
    const bounds = { ...defaultLedgerBounds, maximumTotalAnswerBytes: 250, maximumKeys: 40 };
    const original = createLedgerState(bounds);
    const restored = createLedgerState(bounds);
    for (let round = 0; round < 60; round += 1) {
      const key = `k${round % 50}`;
      const commands = [claimCommand(key, key, round), recordCommand(key, key, round, round)];
      if (round === 30) restored.restore(structuredClone(original.snapshot()));
      for (const command of commands) {
        const result = original.apply(command, position);
        if (round >= 30) assert.deepEqual(restored.apply(command, position), result);
      }
    }
    assert.deepEqual(restored.snapshot(), original.snapshot());
  });
});
