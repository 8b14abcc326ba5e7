import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { AttemptFenceReply } from '@burdockrail/protocol/protocolAttempt.js';
import {
  createFakeAgent,
  createFakeGroups,
  sendWhole,
  startEntry,
  unreachableGroups,
} from './entryFixture.js';

const ledgerService = { service: 'ledger' };

function deposit(url: string, key?: string, body = '{"amount":5}'): Promise<Response> {
  const headers: Record<string, string> = { 'burdockrail-team': 'desk' };
  if (key !== undefined) headers['idempotency-key'] = key;
  return fetch(`${url}/services/ledger/deposit`, { method: 'POST', headers, body });
}

function resultOf(response: Response): readonly [number, string | null] {
  const { headers } = response;
  return [Number(headers.get('burdockrail-result')), headers.get('burdockrail-run')];
}

describe('a non-repeatable request', () => {
  it('runs once and is answered alike by two entries, with and without its first entry', async () => {
    let runs = 0;
    const incarnations: (string | undefined)[] = [];
    await using agent = await createFakeAgent(
      'agent',
      async (order, send) => {
        runs += 1;
        incarnations.push(order.agentIncarnation);
        await sendWhole(order.attemptId, send, `{"receipt":${runs}}`);
      },
      ledgerService,
    );
    const groups = createFakeGroups();
    await using first = await startEntry([agent.announcement], groups);
    await using second = await startEntry([agent.announcement], groups);
    const answers: unknown[] = [];
    for (const { url } of [first, second, first]) {
      const response = await deposit(url, 'deposit-1');
      assert.deepEqual(resultOf(response), [ResultCode.Ok, 'ran']);
      answers.push(await response.json());
    }
    assert.deepEqual(answers, [{ receipt: 1 }, { receipt: 1 }, { receipt: 1 }]);
    assert.deepEqual(incarnations, ['1']);
    const differs = await deposit(second.url, 'deposit-1', '{"amount":6}');
    assert.equal(resultOf(differs)[0], ResultCode.ClaimBodyDiffers);
    const outcome = await fetch(`${second.url}/v1/outcomes/deposit-1?service=ledger`, {
      headers: { 'burdockrail-team': 'desk' },
    });
    const document = (await outcome.json()) as { run: string; answer: { body: string } };
    assert.equal(document.run, 'ran');
    assert.equal(document.answer.body, '{"receipt":1}');
  });

  it('says unknown with a key and not-run without one when the ledger cannot be reached', async () => {
    let runs = 0;
    await using agent = await createFakeAgent(
      'agent',
      async () => {
        runs += 1;
        return Promise.resolve();
      },
      ledgerService,
    );
    await using entry = await startEntry([agent.announcement], unreachableGroups);
    const unreachable = ResultCode.LedgerUnreachable;
    assert.deepEqual(resultOf(await deposit(entry.url, 'k')), [unreachable, 'unknown']);
    assert.deepEqual(resultOf(await deposit(entry.url)), [unreachable, 'not-run']);
    assert.equal(runs, 0);
  });

  const settlements: readonly (readonly [AttemptFenceReply, number, string, number])[] = [
    [{ kind: 'fenced' }, ResultCode.UpstreamFailed, 'not-run', 1],
    [{ kind: 'unknown' }, ResultCode.UpstreamFailed, 'unknown', 1],
    [{ kind: 'other-incarnation' }, ResultCode.UpstreamFailed, 'unknown', 1],
    [
      { kind: 'finished', answer: { status: 200, headers: {}, body: Buffer.from('{}') } },
      ResultCode.Ok,
      'ran',
      1,
    ],
  ];
  for (const [reply, code, run, runs] of settlements) {
    it(`is settled by its agent after a broken attempt: ${reply.kind} means ${run}`, async () => {
      let seen = 0;
      await using agent = await createFakeAgent(
        'agent',
        async (order, send) => {
          seen += 1;
          const { attemptId } = order;
          await send({
            kind: 'failed',
            attemptId,
            code: ResultCode.UpstreamFailed,
            run: 'unknown',
            detail: 'broken',
            upstreamCrashed: false,
          });
        },
        ledgerService,
        () => reply,
      );
      await using entry = await startEntry([agent.announcement]);
      assert.deepEqual(resultOf(await deposit(entry.url, 'k')), [code, run]);
      assert.equal(seen, runs);
    });
  }

  it('goes on to its end though its caller has left, and the resend gets the answer', async () => {
    let release: () => void = () => undefined;
    const released = new Promise<void>((resolve) => {
      release = resolve;
    });
    let began: () => void = () => undefined;
    const begun = new Promise<void>((resolve) => {
      began = resolve;
    });
    await using agent = await createFakeAgent(
      'agent',
      async (order, send) => {
        began();
        await released;
        await sendWhole(order.attemptId, send, '{"receipt":1}');
      },
      ledgerService,
      () => ({ kind: 'running' }),
    );
    await using entry = await startEntry([agent.announcement]);
    const abort = new AbortController();
    const left = fetch(`${entry.url}/services/ledger/deposit`, {
      method: 'POST',
      headers: { 'burdockrail-team': 'desk', 'idempotency-key': 'k' },
      body: '{"amount":5}',
      signal: abort.signal,
    });
    await begun;
    abort.abort();
    await assert.rejects(left);
    assert.deepEqual(resultOf(await deposit(entry.url, 'k')), [
      ResultCode.ClaimInProgress,
      'unknown',
    ]);
    release();
    for (let code = -1; code !== (ResultCode.Ok as number);) {
      [code] = resultOf(await deposit(entry.url, 'k'));
    }
  });
});
