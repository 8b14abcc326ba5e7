import assert from 'node:assert/strict';
import { after, before, beforeEach, describe, it } from 'node:test';
import { setTimeout } from 'node:timers/promises';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { CallerAnswer } from '@burdockrail/harness/callerClient.js';
import type { System } from '@burdockrail/harness/system.js';
import { waitUntilServing } from '@burdockrail/harness/systemOperation.js';
import { waitUntil, waitUntilTrue } from '@burdockrail/harness/waitUntil.js';
import { AGENT, SERVICE, deposit, outcomeOf, runsOf, startDepositSystem } from './depositSystem.js';

const FIRST = 'entry-serra-leste-1';
const SECOND = 'entry-litoral-norte-1';
const HOME = 'sul-lagoa';

/** Time in which a cut-off data centre refuses, in milliseconds, and what a busy machine adds. */
const REFUSAL_MILLISECONDS = 500;
const MACHINE_MILLISECONDS = 250;

/** Time within which the system settles what a failure left open, in milliseconds. */
const SETTLE_MILLISECONDS = 15_000;

/** Sends a key again, as a caller does, until its outcome is known or is unknown for good. */
async function sendUntilSettled(system: System, entry: string, key: string): Promise<CallerAnswer> {
  let last: CallerAnswer | null = null;
  const settled = waitUntil(
    async () => {
      const answer = await deposit(system, entry, key);
      last = answer;
      const isOpen = answer?.run === 'unknown' && answer.code !== ResultCode.ClaimOutcomeUnknown;
      if (answer === null || isOpen) return undefined;
      // Told as not run: the caller may come back, and the key must then run at most once.
      return answer.run === 'not-run' ? undefined : answer;
    },
    { description: `an outcome of ${key}`, timeoutMilliseconds: SETTLE_MILLISECONDS },
  );
  return settled.catch((error: unknown) => {
    throw new Error(`${String(error)}; last answer ${last?.text ?? 'none'}`);
  });
}

async function untilRun(system: System, key: string): Promise<void> {
  await waitUntilTrue(async () => (await runsOf(system, key)) > 0, {
    description: `a run of ${key}`,
  });
}

describe('a deposit sent again through another entry', () => {
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

  it('runs once and is answered alike, and its key is refused for another body', async () => {
    const first = await deposit(system, FIRST, 'alike');
    const second = await deposit(system, SECOND, 'alike');
    assert.equal(first?.code, ResultCode.Ok);
    assert.equal(second?.text, first.text);
    assert.equal(await runsOf(system, 'alike'), 1);
    assert.equal(await outcomeOf(system, SECOND, 'alike'), 'ran');
    const differs = await deposit(system, SECOND, 'alike', '{"amount":41}');
    assert.equal(differs?.code, ResultCode.ClaimBodyDiffers);
    assert.equal(await runsOf(system, 'alike'), 1);
  });

  /** How far the first sending gets before its entry is killed. */
  const kills: Readonly<Record<string, (key: string) => Promise<void>>> = {
    'before the claim': async (key) => {
      const heal = await system.links.cut({ machine: FIRST }, { dataCentre: HOME });
      const sending = deposit(system, FIRST, key);
      await setTimeout(50);
      await system.processes.kill(FIRST);
      await sending;
      await heal();
    },
    'after the claim': async (key) => {
      const heal = await system.links.cut({ machine: FIRST }, { machine: AGENT });
      const sending = deposit(system, FIRST, key);
      await setTimeout(120);
      await system.processes.kill(FIRST);
      await sending;
      await heal();
    },
    'after the send': async (key) => {
      await system.plain(AGENT).faults([{ kind: 'late', milliseconds: 600, times: 1 }]);
      const sending = deposit(system, FIRST, key);
      await untilRun(system, key);
      await system.processes.kill(FIRST);
      await sending;
    },
    'after the answer': async (key) => {
      assert.equal((await deposit(system, FIRST, key))?.run, 'ran');
      await system.processes.kill(FIRST);
    },
  };
  for (const [moment, kill] of Object.entries(kills)) {
    it(`runs once though its first entry is killed ${moment}`, async () => {
      const key = `killed-${moment.replaceAll(' ', '-')}`;
      await kill(key);
      const answer = await sendUntilSettled(system, SECOND, key);
      assert.equal(answer.run, 'ran');
      assert.equal(await runsOf(system, key), 1);
      await system.processes.restart(FIRST);
      await waitUntilServing(system, SERVICE, { entries: [FIRST] });
      assert.equal((await sendUntilSettled(system, FIRST, key)).text, answer.text);
      assert.equal(await runsOf(system, key), 1);
    });
  }

  it('is unknown for good when its agent is killed in the middle and starts anew', async () => {
    await system.plain(AGENT).faults([{ kind: 'late', milliseconds: 1_000, times: 1 }]);
    const sending = deposit(system, FIRST, 'agent');
    await untilRun(system, 'agent');
    await system.processes.restart(AGENT);
    assert.notEqual((await sending)?.run, 'not-run');
    const answer = await sendUntilSettled(system, SECOND, 'agent');
    assert.equal(answer.code, ResultCode.ClaimOutcomeUnknown);
    assert.equal(await runsOf(system, 'agent'), 1);
  });

  for (const [kind, runs] of [
    ['crash-before-run', 0],
    ['crash-after-run', 1],
  ] as const) {
    it(`is not repeated after a ${kind} of its service`, async () => {
      await system.plain(AGENT).faults([{ kind, times: 1 }]);
      const first = await deposit(system, FIRST, kind);
      assert.equal(first?.run, 'unknown');
      await waitUntilTrue(async () => (await runsOf(system, kind)) === runs, {
        description: 'the runs',
      });
      const again = await deposit(system, SECOND, kind);
      assert.equal(again?.run, 'unknown');
      assert.equal(await runsOf(system, kind), runs);
    });
  }

  it('runs once though the leader of its ledger is frozen past its lease and thawed', async () => {
    const statuses = await Promise.all(
      system.withRole('entry').map(async ({ advertise }) => system.operator.status(advertise)),
    );
    const group = statuses
      .flatMap(({ groups }) => groups)
      .find(({ group: name }) => name === `ledger.${HOME}`);
    const leader = group?.leader?.split('#')[0] ?? '';
    system.processes.pause(leader);
    const first = deposit(system, FIRST, 'frozen');
    const answer = await sendUntilSettled(system, SECOND, 'frozen').finally(() => {
      system.processes.resume(leader);
    });
    await first;
    assert.equal(answer.run, 'ran');
    assert.equal((await sendUntilSettled(system, FIRST, 'frozen')).text, answer.text);
    assert.equal(await runsOf(system, 'frozen'), 1);
  });

  it('runs in its cut-off home, and is refused at once elsewhere until the cut heals', async () => {
    const heals = await Promise.all(
      ['serra-leste', 'litoral-norte'].map(async (dataCentre) =>
        system.links.cut({ dataCentre: HOME }, { dataCentre }),
      ),
    );
    const home = await sendUntilSettled(system, 'entry-sul-lagoa-3', 'cut-home');
    assert.equal(home.run, 'ran');
    const away = await deposit(system, FIRST, 'cut-away');
    assert.equal(away?.run, 'unknown');
    assert.ok(away.totalMilliseconds < REFUSAL_MILLISECONDS + MACHINE_MILLISECONDS);
    for (const heal of heals) await heal();
    assert.equal((await sendUntilSettled(system, SECOND, 'cut-home')).text, home.text);
    assert.equal((await sendUntilSettled(system, FIRST, 'cut-away')).run, 'ran');
    assert.equal(await runsOf(system, 'cut-home'), 1);
    assert.equal(await runsOf(system, 'cut-away'), 1);
  });
});
