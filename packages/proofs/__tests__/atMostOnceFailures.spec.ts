import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { createSeededRandom } from '@burdockrail/common/seededRandom.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { CallerAnswer } from '@burdockrail/harness/callerClient.js';
import type { System } from '@burdockrail/harness/system.js';
import { printLogTails } from '@burdockrail/harness/systemOperation.js';
import { waitUntil, waitUntilTrue } from '@burdockrail/harness/waitUntil.js';
import { AGENT, deposit, depositLayout, runsOf, startDepositSystem } from './depositSystem.js';

const SEED = 20_261_204;
const HOME = 'sul-lagoa';
const KILLED = 'entry-serra-leste-1';
const OTHERS = ['entry-litoral-norte-1', 'entry-serra-leste-2', 'entry-sul-lagoa-3'];
const RUN_MILLISECONDS = 120;
/** Within this time a data centre that is cut off from the ledger has to refuse. */
const REFUSAL_BOUND_MILLISECONDS = 500;

let system: System;

/** Runs of a key; a service that crashed does not tell for a while. */
async function countRuns(key: string): Promise<number> {
  return waitUntil(async () => runsOf(system, key), { description: `the runs of ${key}` });
}

/** Compares one answer with what the service itself counts at this moment. */
async function checkAnswer(key: string, answer: CallerAnswer | null): Promise<void> {
  const runs = await countRuns(key);
  assert.ok(runs <= 1, `${key} ran ${runs} times`);
  if (answer?.run === 'not-run') assert.equal(runs, 0, `${key} was called not run`);
  if (answer?.run === 'ran') assert.equal(runs, 1, `${key} was called run`);
}

/** Sends a key again through the other entries until its outcome is settled. */
async function resend(key: string): Promise<CallerAnswer> {
  let turn = 0;
  return waitUntil(
    async () => {
      const answer = await deposit(system, OTHERS[turn % OTHERS.length] ?? '', key);
      turn += 1;
      await checkAnswer(key, answer);
      const isSettled = answer?.run === 'ran' || answer?.code === ResultCode.ClaimOutcomeUnknown;
      return isSettled ? answer : undefined;
    },
    { description: `the outcome of ${key}`, timeoutMilliseconds: 20_000 },
  );
}

async function homeLeader(): Promise<string> {
  const group = `ledger.${HOME}`;
  const homeMachines = system.machines.filter(
    ({ dataCentre, roles }) => dataCentre === HOME && !roles.includes('agent'),
  );
  for (const { advertise } of homeMachines) {
    const status = await system.operator.status(advertise).catch(() => null);
    const leader = status?.groups.find((view) => view.group === group)?.leader;
    if (typeof leader === 'string') return leader.split('#')[0] ?? leader;
  }
  return assert.fail('no leader of the ledger is known');
}

describe(`deposits under failure, seed ${SEED}`, () => {
  before(async () => {
    const [service, ...rest] = depositLayout.services;
    assert.ok(service !== undefined);
    system = await startDepositSystem({
      ...depositLayout,
      services: [{ ...service, runMilliseconds: RUN_MILLISECONDS }, ...rest],
      links: { ...depositLayout.links, separateProxyProcess: true },
    });
  });
  after(async () => {
    await system[Symbol.asyncDispose]();
  });
  const proof = (name: string, body: () => Promise<void>): void => {
    it(name, async () => {
      try {
        await body();
      } catch (error) {
        await printLogTails(system);
        throw error;
      }
    });
  };

  proof('run at most once when their entry is killed at any moment', async () => {
    const random = createSeededRandom(SEED);
    for (let number = 0; number < 6; number += 1) {
      const key = `killed-entry-${number}`;
      const first = deposit(system, KILLED, key);
      await delay(random.nextInteger(RUN_MILLISECONDS + 60));
      await system.processes.kill(KILLED);
      await checkAnswer(key, await first);
      await resend(key);
      await system.processes.start(KILLED);
    }
  });

  proof('run at most once when their agent is killed and starts without memory', async () => {
    const random = createSeededRandom(SEED + 1);
    for (let number = 0; number < 3; number += 1) {
      const key = `killed-agent-${number}`;
      const first = deposit(system, 'entry-sul-lagoa-1', key);
      await delay(10 + random.nextInteger(RUN_MILLISECONDS));
      await system.processes.restart(AGENT);
      await checkAnswer(key, await first);
      const settled = await resend(key);
      const runs = await countRuns(key);
      const again = await deposit(system, 'entry-sul-lagoa-3', key);
      assert.equal(again?.code, settled.code);
      assert.equal(await countRuns(key), runs);
    }
  });

  for (const fault of ['crash-before-run', 'crash-after-run'] as const) {
    proof(`run at most once when their service fails: ${fault}`, async () => {
      await system.plain(AGENT).faults([{ kind: fault, times: 1 }]);
      const first = await deposit(system, 'entry-sul-lagoa-1', fault);
      await checkAnswer(fault, first);
      assert.notEqual(first?.run, 'ran');
      await system.plain(AGENT).faults([]);
      await resend(fault);
    });
  }

  proof('run at most once while the leader of the ledger is frozen and thawed', async () => {
    const frozen = await homeLeader();
    const entry = OTHERS.find((name) => name !== frozen) ?? '';
    const stored = await resend('before-freeze');
    assert.equal(stored.run, 'ran');
    system.processes.pause(frozen);
    const answers = await Promise.all(
      ['freeze-1', 'freeze-2'].map(async (key) => deposit(system, entry, key)),
    );
    await checkAnswer('freeze-1', answers[0] ?? null);
    await checkAnswer('freeze-2', answers[1] ?? null);
    await waitUntilTrue(async () => (await homeLeader()) !== frozen, {
      description: 'another leader',
    });
    const replayed = await resend('before-freeze');
    assert.equal(replayed.text, stored.text);
    system.processes.resume(frozen);
    await resend('freeze-1');
    await resend('freeze-2');
    assert.equal(await countRuns('before-freeze'), 1);
  });

  proof('are remembered after the disk of the home control is wiped', async () => {
    const stored = await resend('before-wipe');
    assert.equal(stored.run, 'ran');
    const control = `control-${HOME}-1`;
    await system.processes.kill(control);
    await system.processes.clearDataFolder(control);
    await system.processes.start(control);
    const replayed = await resend('before-wipe');
    assert.equal(replayed.text, stored.text);
    assert.equal((await resend('after-wipe')).run, 'ran');
  });

  proof(
    'go on in the home data centre while it is cut off, and are refused elsewhere in time',
    async () => {
      for (const dataCentre of ['serra-leste', 'litoral-norte']) {
        await system.links.cut({ dataCentre: HOME }, { dataCentre });
      }
      await waitUntilTrue(
        async () => (await deposit(system, 'entry-sul-lagoa-1', 'cut-home'))?.run === 'ran',
        { description: 'a deposit in the home data centre' },
      );
      const refused = await deposit(system, 'entry-litoral-norte-1', 'cut-elsewhere');
      assert.equal(refused?.run, 'unknown');
      assert.equal(await countRuns('cut-elsewhere'), 0);
      const later = await deposit(system, 'entry-litoral-norte-1', 'cut-later');
      const took = later?.totalMilliseconds ?? Infinity;
      assert.ok(took <= REFUSAL_BOUND_MILLISECONDS, `refused after ${took} ms`);
      await system.links.heal();
      await resend('cut-elsewhere');
      await resend('cut-home');
      assert.equal(await countRuns('cut-home'), 1);
    },
  );
});
