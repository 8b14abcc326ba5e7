import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { AttemptFenceReply } from '@burdockrail/protocol/protocolAttempt.js';
import {
  createFakeAgent,
  createFakeGroups,
  sendCompleteAnswer,
  startEntry,
  unreachableGroups,
} from './entryFixture.js';

const ledgerAnnouncement = { service: 'ledger' };

function deposit(url: string, key?: string, body = '{"amount":5}'): Promise<Response> {
  const headers: Record<string, string> = { 'burdockrail-team': 'desk' };
  if (key !== undefined) headers['idempotency-key'] = key;
  return fetch(`${url}/services/ledger/deposit`, { method: 'POST', headers, body });
}

function resultHeaders(response: Response): readonly [number, string | null] {
  const { headers } = response;
  return [Number(headers.get('burdockrail-result')), headers.get('burdockrail-run')];
}

describe('a non-repeatable request', () => {
  it('runs once, and every entry replays its answer', async () => {
    let runs = 0;
    const incarnations: (string | undefined)[] = [];
    await using agent = await createFakeAgent(
      'agent',
      async (attempt, send) => {
        runs += 1;
        incarnations.push(attempt.agentIncarnation);
        await sendCompleteAnswer(attempt.attemptId, send, `{"receipt":${runs}}`);
      },
      ledgerAnnouncement,
    );
    const groups = createFakeGroups();
    await using first = await startEntry([agent.announcement], groups);
    await using second = await startEntry([agent.announcement], groups);
    const answers: unknown[] = [];
    for (const { url } of [first, second, first]) {
      const response = await deposit(url, 'deposit-1');
      assert.deepEqual(resultHeaders(response), [ResultCode.Ok, 'ran']);
      answers.push(await response.json());
    }
    assert.deepEqual(answers, [{ receipt: 1 }, { receipt: 1 }, { receipt: 1 }]);
    assert.deepEqual(incarnations, ['1']);
    const differs = await deposit(second.url, 'deposit-1', '{"amount":6}');
    assert.equal(resultHeaders(differs)[0], ResultCode.ClaimBodyDiffers);
    const outcome = await fetch(`${second.url}/v1/outcomes/deposit-1?service=ledger`, {
      headers: { 'burdockrail-team': 'desk' },
    });
    const document = (await outcome.json()) as { run: string; answer: { body: string } };
    assert.equal(document.run, 'ran');
    assert.equal(document.answer.body, '{"receipt":1}');
  });

  it('is refused as unknown with a key and not-run without one if the ledger is unreachable', async () => {
    let runs = 0;
    await using agent = await createFakeAgent(
      'agent',
      async () => {
        runs += 1;
        return Promise.resolve();
      },
      ledgerAnnouncement,
    );
    await using entry = await startEntry([agent.announcement], unreachableGroups);
    const unreachable = ResultCode.LedgerUnreachable;
    assert.deepEqual(resultHeaders(await deposit(entry.url, 'k')), [unreachable, 'unknown']);
    assert.deepEqual(resultHeaders(await deposit(entry.url)), [unreachable, 'not-run']);
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
  for (const [reply, code, run, expectedAttempts] of settlements) {
    it(`is settled by fencing after a failed attempt: ${reply.kind} gives ${run}`, async () => {
      let attemptCount = 0;
      await using agent = await createFakeAgent(
        'agent',
        async (attempt, send) => {
          attemptCount += 1;
          const { attemptId } = attempt;
          await send({
            kind: 'failed',
            attemptId,
            code: ResultCode.UpstreamFailed,
            run: 'unknown',
            detail: 'broken',
            upstreamCrashed: false,
          });
        },
        ledgerAnnouncement,
        () => reply,
      );
      await using entry = await startEntry([agent.announcement]);
      assert.deepEqual(resultHeaders(await deposit(entry.url, 'k')), [code, run]);
      assert.equal(attemptCount, expectedAttempts);
    });
  }

  it('runs to completion after its caller disconnects, and a resent request gets the answer', async () => {
    let release: () => void = () => undefined;
    const released = new Promise<void>((resolve) => {
      release = resolve;
    });
    let onBegun: () => void = () => undefined;
    const begun = new Promise<void>((resolve) => {
      onBegun = resolve;
    });
    await using agent = await createFakeAgent(
      'agent',
      async (attempt, send) => {
        onBegun();
        await released;
        await sendCompleteAnswer(attempt.attemptId, send, '{"receipt":1}');
      },
      ledgerAnnouncement,
      () => ({ kind: 'running' }),
    );
    await using entry = await startEntry([agent.announcement]);
    const abort = new AbortController();
    const disconnected = fetch(`${entry.url}/services/ledger/deposit`, {
      method: 'POST',
      headers: { 'burdockrail-team': 'desk', 'idempotency-key': 'k' },
      body: '{"amount":5}',
      signal: abort.signal,
    });
    await begun;
    abort.abort();
    await assert.rejects(disconnected);
    assert.deepEqual(resultHeaders(await deposit(entry.url, 'k')), [
      ResultCode.ClaimInProgress,
      'unknown',
    ]);
    release();
    for (let code = -1; code !== (ResultCode.Ok as number);) {
      [code] = resultHeaders(await deposit(entry.url, 'k'));
    }
  });
});
