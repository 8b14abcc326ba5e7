import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { createSeededRandom } from '@burdockrail/common/seededRandom.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { CallerAnswer } from '@burdockrail/harness/callerClient.js';
import type { System } from '@burdockrail/harness/system.js';
import { printLogTails } from '@burdockrail/harness/systemOperation.js';
import { waitUntil, waitUntilTrue } from '@burdockrail/harness/waitUntil.js';
import {
  AGENT,
  sendDeposit,
  depositLayout,
  fetchRunCount,
  startDepositSystem,
} from './depositSystem.js';

const SEED = 20_261_204;
const HOME_DATA_CENTRE = 'sul-lagoa';
const KILLED_ENTRY = 'entry-serra-leste-1';
const OTHER_ENTRIES = ['entry-litoral-norte-1', 'entry-serra-leste-2', 'entry-sul-lagoa-3'];
const RUN_MILLISECONDS = 120;
/** Time limit for refusals in a data centre that is partitioned from the ledger. */
const REFUSAL_LIMIT_MILLISECONDS = 500;

let system: System;

/** Run count of a key; retried, since a crashed service does not answer for a while. */
async function countRuns(key: string): Promise<number> {
  return waitUntil(async () => fetchRunCount(system, key), { description: `the runs of ${key}` });
}

/** Compares an answer with the service's current run count. */
async function checkAnswer(key: string, answer: CallerAnswer | null): Promise<void> {
  const runs = await countRuns(key);
  assert.ok(runs <= 1, `${key} ran ${runs} times`);
  if (answer?.run === 'not-run') assert.equal(runs, 0, `${key} was reported as not run`);
  if (answer?.run === 'ran') assert.equal(runs, 1, `${key} was reported as run`);
}

/** Resends a key through the other entries until its outcome is settled. */
async function resendUntilSettled(key: string): Promise<CallerAnswer> {
  let attempt = 0;
  return waitUntil(
    async () => {
      const answer = await sendDeposit(
        system,
        OTHER_ENTRIES[attempt % OTHER_ENTRIES.length] ?? '',
        key,
      );
      attempt += 1;
      await checkAnswer(key, answer);
      const isSettled = answer?.run === 'ran' || answer?.code === ResultCode.ClaimOutcomeUnknown;
      return isSettled ? answer : undefined;
    },
    { description: `the outcome of ${key}`, timeoutMilliseconds: 20_000 },
  );
}

async function homeLedgerLeader(): Promise<string> {
  const group = `ledger.${HOME_DATA_CENTRE}`;
  const homeMachines = system.machines.filter(
    ({ dataCentre, roles }) => dataCentre === HOME_DATA_CENTRE && !roles.includes('agent'),
  );
  for (const { advertise } of homeMachines) {
    const status = await system.operator.status(advertise).catch(() => null);
    const leader = status?.groups.find((candidate) => candidate.group === group)?.leader;
    if (typeof leader === 'string') return leader.split('#')[0] ?? leader;
  }
  return assert.fail('no home machine reports a leader of the ledger');
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
  const itPrintingLogs = (name: string, body: () => Promise<void>): void => {
    it(name, async () => {
      try {
        await body();
      } catch (error) {
        await printLogTails(system);
        throw error;
      }
    });
  };

  itPrintingLogs('run at most once when their entry is killed at a random moment', async () => {
    const random = createSeededRandom(SEED);
    for (let number = 0; number < 6; number += 1) {
      const key = `killed-entry-${number}`;
      const first = sendDeposit(system, KILLED_ENTRY, key);
      await delay(random.nextInteger(RUN_MILLISECONDS + 60));
      await system.processes.kill(KILLED_ENTRY);
      await checkAnswer(key, await first);
      await resendUntilSettled(key);
      await system.processes.start(KILLED_ENTRY);
    }
  });

  itPrintingLogs(
    'run at most once when their agent is killed and restarts without its in-memory state',
    async () => {
      const random = createSeededRandom(SEED + 1);
      for (let number = 0; number < 3; number += 1) {
        const key = `killed-agent-${number}`;
        const first = sendDeposit(system, 'entry-sul-lagoa-1', key);
        await delay(10 + random.nextInteger(RUN_MILLISECONDS));
        await system.processes.restart(AGENT);
        await checkAnswer(key, await first);
        const settled = await resendUntilSettled(key);
        const runs = await countRuns(key);
        const again = await sendDeposit(system, 'entry-sul-lagoa-3', key);
        assert.equal(again?.code, settled.code);
        assert.equal(await countRuns(key), runs);
      }
    },
  );

  for (const fault of ['crash-before-run', 'crash-after-run'] as const) {
    itPrintingLogs(`run at most once when their service fails: ${fault}`, async () => {
      await system.plainServiceClient(AGENT).faults([{ kind: fault, times: 1 }]);
      const first = await sendDeposit(system, 'entry-sul-lagoa-1', fault);
      await checkAnswer(fault, first);
      assert.notEqual(first?.run, 'ran');
      await system.plainServiceClient(AGENT).faults([]);
      await resendUntilSettled(fault);
    });
  }

  itPrintingLogs(
    'run at most once while the leader of the ledger is paused and resumed',
    async () => {
      const pausedLeader = await homeLedgerLeader();
      const entry = OTHER_ENTRIES.find((name) => name !== pausedLeader) ?? '';
      const stored = await resendUntilSettled('before-pause');
      assert.equal(stored.run, 'ran');
      system.processes.pause(pausedLeader);
      const answers = await Promise.all(
        ['pause-1', 'pause-2'].map(async (key) => sendDeposit(system, entry, key)),
      );
      await checkAnswer('pause-1', answers[0] ?? null);
      await checkAnswer('pause-2', answers[1] ?? null);
      await waitUntilTrue(async () => (await homeLedgerLeader()) !== pausedLeader, {
        description: 'another leader',
      });
      const replayed = await resendUntilSettled('before-pause');
      assert.equal(replayed.text, stored.text);
      system.processes.resume(pausedLeader);
      await resendUntilSettled('pause-1');
      await resendUntilSettled('pause-2');
      assert.equal(await countRuns('before-pause'), 1);
    },
  );

  itPrintingLogs('are remembered after the home control replica loses its disk', async () => {
    const stored = await resendUntilSettled('before-disk-loss');
    assert.equal(stored.run, 'ran');
    const control = `control-${HOME_DATA_CENTRE}-1`;
    await system.processes.kill(control);
    await system.processes.clearDataFolder(control);
    await system.processes.start(control);
    const replayed = await resendUntilSettled('before-disk-loss');
    assert.equal(replayed.text, stored.text);
    assert.equal((await resendUntilSettled('after-disk-loss')).run, 'ran');
  });

  itPrintingLogs(
    'run in the home data centre while it is partitioned, and are refused elsewhere in time',
    async () => {
      for (const dataCentre of ['serra-leste', 'litoral-norte']) {
        await system.links.cut({ dataCentre: HOME_DATA_CENTRE }, { dataCentre });
      }
      await waitUntilTrue(
        async () => (await sendDeposit(system, 'entry-sul-lagoa-1', 'cut-home'))?.run === 'ran',
        { description: 'a deposit in the home data centre' },
      );
      const refused = await sendDeposit(system, 'entry-litoral-norte-1', 'cut-elsewhere');
      assert.equal(refused?.run, 'unknown');
      assert.equal(await countRuns('cut-elsewhere'), 0);
      const later = await sendDeposit(system, 'entry-litoral-norte-1', 'cut-later');
      const took = later?.totalMilliseconds ?? Infinity;
      assert.ok(took <= REFUSAL_LIMIT_MILLISECONDS, `refused after ${took} ms`);
      await system.links.heal();
      await resendUntilSettled('cut-elsewhere');
      await resendUntilSettled('cut-home');
      assert.equal(await countRuns('cut-home'), 1);
    },
  );
});
