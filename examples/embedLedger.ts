import { createLedgerState } from '@burdockrail/ledger/ledgerState.js';

const ledger = createLedgerState();
const key = { team: 'desk', service: 'till', key: 'deposit-7' };
const address = { host: '10.0.0.9', port: 7100 };
const request = { kind: 'claim', key, digest: 'body', receivedAt: 1, at: 1 } as const;
for (const attemptId of ['first', 'resent']) {
  const attempt = { attemptId, agent: 'till-1', agentIncarnation: 'a1', address };
  console.log(attemptId, ledger.apply({ ...request, attempt }, { index: 1, term: 1 }).kind);
}
