import assert from 'node:assert/strict';
import { after, before, beforeEach, describe, it } from 'node:test';
import { setTimeout } from 'node:timers/promises';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { CallerAnswer } from '@burdockrail/harness/callerClient.js';
import type { System } from '@burdockrail/harness/system.js';
import { waitUntilServing } from '@burdockrail/harness/systemOperation.js';
import { waitUntil, waitUntilTrue } from '@burdockrail/harness/waitUntil.js';
import {
  AGENT,
  SERVICE,
  sendDeposit,
  fetchRunStatus,
  fetchRunCount,
  startDepositSystem,
} from './depositSystem.js';

const FIRST_ENTRY = 'entry-serra-leste-1';
const SECOND_ENTRY = 'entry-litoral-norte-1';
const HOME_DATA_CENTRE = 'sul-lagoa';

/** Time limit for refusals in a partitioned data centre, and an allowance for a busy machine. */
const REFUSAL_MILLISECONDS = 500;
const BUSY_MACHINE_MILLISECONDS = 250;

/** Time limit for settling the outcome of a request that a failure interrupted. */
const SETTLE_TIMEOUT_MILLISECONDS = 15_000;

/** Resends a key, as a caller would, until its outcome is known or permanently unknown. */
async function sendUntilSettled(system: System, entry: string, key: string): Promise<CallerAnswer> {
  let last: CallerAnswer | null = null;
  const settled = waitUntil(
    async () => {
      const answer = await sendDeposit(system, entry, key);
      last = answer;
      const isUnsettled =
        answer?.run === 'unknown' && answer.code !== ResultCode.ClaimOutcomeUnknown;
      if (answer === null || isUnsettled) return undefined;
      // After `not-run` the caller may retry, and the key must still run at most once.
      return answer.run === 'not-run' ? undefined : answer;
    },
    { description: `an outcome of ${key}`, timeoutMilliseconds: SETTLE_TIMEOUT_MILLISECONDS },
  );
  return settled.catch((error: unknown) => {
    throw new Error(`${String(error)}; last answer: ${last?.text ?? 'none'}`);
  });
}

async function waitUntilRun(system: System, key: string): Promise<void> {
  await waitUntilTrue(async () => (await fetchRunCount(system, key)) > 0, {
    description: `a run of ${key}`,
  });
}

describe('a deposit that is resent through another entry', () => {
  let system: System;
  before(async () => {
    system = await startDepositSystem();
  });
  beforeEach(async () => {
    await waitUntilServing(system, SERVICE);
  });
  after(async () => {
    await system[Symbol.asyncDispose]();
  });

  it('runs once, gets the same answer, and its key is refused with another body', async () => {
    const first = await sendDeposit(system, FIRST_ENTRY, 'same-answer');
    const second = await sendDeposit(system, SECOND_ENTRY, 'same-answer');
    assert.equal(first?.code, ResultCode.Ok);
    assert.equal(second?.text, first.text);
    assert.equal(await fetchRunCount(system, 'same-answer'), 1);
    assert.equal(await fetchRunStatus(system, SECOND_ENTRY, 'same-answer'), 'ran');
    const otherBody = await sendDeposit(system, SECOND_ENTRY, 'same-answer', '{"amount":41}');
    assert.equal(otherBody?.code, ResultCode.ClaimBodyDiffers);
    assert.equal(await fetchRunCount(system, 'same-answer'), 1);
  });

  /** Sends a key and kills its entry at the named point. */
  const killPoints: Readonly<Record<string, (key: string) => Promise<void>>> = {
    'before the claim': async (key) => {
      const heal = await system.links.cut(
        { machine: FIRST_ENTRY },
        { dataCentre: HOME_DATA_CENTRE },
      );
      const pending = sendDeposit(system, FIRST_ENTRY, key);
      await setTimeout(50);
      await system.processes.kill(FIRST_ENTRY);
      await pending;
      await heal();
    },
    'after the claim': async (key) => {
      const heal = await system.links.cut({ machine: FIRST_ENTRY }, { machine: AGENT });
      const pending = sendDeposit(system, FIRST_ENTRY, key);
      await setTimeout(120);
      await system.processes.kill(FIRST_ENTRY);
      await pending;
      await heal();
    },
    'after the send': async (key) => {
      await system
        .plainServiceClient(AGENT)
        .faults([{ kind: 'late', milliseconds: 600, times: 1 }]);
      const pending = sendDeposit(system, FIRST_ENTRY, key);
      await waitUntilRun(system, key);
      await system.processes.kill(FIRST_ENTRY);
      await pending;
    },
    'after the answer': async (key) => {
      assert.equal((await sendDeposit(system, FIRST_ENTRY, key))?.run, 'ran');
      await system.processes.kill(FIRST_ENTRY);
    },
  };
  for (const [point, killEntry] of Object.entries(killPoints)) {
    it(`runs once although its first entry is killed ${point}`, async () => {
      const key = `killed-${point.replaceAll(' ', '-')}`;
      await killEntry(key);
      const answer = await sendUntilSettled(system, SECOND_ENTRY, key);
      assert.equal(answer.run, 'ran');
      assert.equal(await fetchRunCount(system, key), 1);
      await system.processes.restart(FIRST_ENTRY);
      await waitUntilServing(system, SERVICE, { entries: [FIRST_ENTRY] });
      assert.equal((await sendUntilSettled(system, FIRST_ENTRY, key)).text, answer.text);
      assert.equal(await fetchRunCount(system, key), 1);
    });
  }

  it('has a permanently unknown outcome when its agent is restarted during the run', async () => {
    await system
      .plainServiceClient(AGENT)
      .faults([{ kind: 'late', milliseconds: 1_000, times: 1 }]);
    const pending = sendDeposit(system, FIRST_ENTRY, 'agent');
    await waitUntilRun(system, 'agent');
    await system.processes.restart(AGENT);
    assert.notEqual((await pending)?.run, 'not-run');
    const answer = await sendUntilSettled(system, SECOND_ENTRY, 'agent');
    assert.equal(answer.code, ResultCode.ClaimOutcomeUnknown);
    assert.equal(await fetchRunCount(system, 'agent'), 1);
  });

  for (const [kind, runs] of [
    ['crash-before-run', 0],
    ['crash-after-run', 1],
  ] as const) {
    it(`is not repeated after a ${kind} of its service`, async () => {
      await system.plainServiceClient(AGENT).faults([{ kind, times: 1 }]);
      const first = await sendDeposit(system, FIRST_ENTRY, kind);
      assert.equal(first?.run, 'unknown');
      await waitUntilTrue(async () => (await fetchRunCount(system, kind)) === runs, {
        description: 'the runs',
      });
      const again = await sendDeposit(system, SECOND_ENTRY, kind);
      assert.equal(again?.run, 'unknown');
      assert.equal(await fetchRunCount(system, kind), runs);
    });
  }

  it('runs once although the leader of its ledger is paused for longer than its lease', async () => {
    const statuses = await Promise.all(
      system
        .machinesWithRole('entry')
        .map(async ({ advertise }) => system.operator.status(advertise)),
    );
    const group = statuses
      .flatMap(({ groups }) => groups)
      .find(({ group: name }) => name === `ledger.${HOME_DATA_CENTRE}`);
    const leader = group?.leader?.split('#')[0] ?? '';
    system.processes.pause(leader);
    const first = sendDeposit(system, FIRST_ENTRY, 'paused-leader');
    const answer = await sendUntilSettled(system, SECOND_ENTRY, 'paused-leader').finally(() => {
      system.processes.resume(leader);
    });
    await first;
    assert.equal(answer.run, 'ran');
    assert.equal((await sendUntilSettled(system, FIRST_ENTRY, 'paused-leader')).text, answer.text);
    assert.equal(await fetchRunCount(system, 'paused-leader'), 1);
  });

  it('runs in its partitioned home data centre, and is refused quickly elsewhere until it heals', async () => {
    const heals = await Promise.all(
      ['serra-leste', 'litoral-norte'].map(async (dataCentre) =>
        system.links.cut({ dataCentre: HOME_DATA_CENTRE }, { dataCentre }),
      ),
    );
    const home = await sendUntilSettled(system, 'entry-sul-lagoa-3', 'cut-home');
    assert.equal(home.run, 'ran');
    const elsewhere = await sendDeposit(system, FIRST_ENTRY, 'cut-elsewhere');
    assert.equal(elsewhere?.run, 'unknown');
    assert.ok(elsewhere.totalMilliseconds < REFUSAL_MILLISECONDS + BUSY_MACHINE_MILLISECONDS);
    for (const heal of heals) await heal();
    assert.equal((await sendUntilSettled(system, SECOND_ENTRY, 'cut-home')).text, home.text);
    assert.equal((await sendUntilSettled(system, FIRST_ENTRY, 'cut-elsewhere')).run, 'ran');
    assert.equal(await fetchRunCount(system, 'cut-home'), 1);
    assert.equal(await fetchRunCount(system, 'cut-elsewhere'), 1);
  });
});
