import { randomBytes } from 'node:crypto';
import { setTimeout as pause } from 'node:timers/promises';
import { createConfiguration, HOST, KEY, SERVICE } from '../lib-2/configuration.mjs';
import { CONTROL_PORT, FRONT_PORT, runCase } from '../lib-2/deployment.mjs';
import { call } from '../lib-2/http.mjs';
import { createOperator } from '../lib-2/operator.mjs';
import { startRunner } from '../lib-2/runner.mjs';

/** Bounds of the site. */
const CATCH_UP_MILLISECONDS = 4000;
const CONTACT_MILLISECONDS = 3000;

/** Time from the removal of a machine to the start of its successor (the default of the bench). */
const SUCCESSOR_MILLISECONDS = 1000;

/** Time after `catch_up_s` of the first successor at which a second machine is removed. */
const MARGIN_MILLISECONDS = 250;

await runCase(new URL('record.txt', import.meta.url), async (setup) => {
  const { record, deployment, trouble, host, untilTrafficStarts } = setup;
  const seeds = [host(11), host(12), host(13)];
  let controls = seeds.map((seed, index) => ({ name: `core-${index + 1}`, seed }));
  const addresses = () => controls.map(({ seed }) => `${seed}:${CONTROL_PORT}`);
  for (const { name, seed } of controls)
    deployment.start({ name, role: 'control', host: seed, seeds, bootstrap: true });
  const fronts = [21, 22].map(host);
  for (const [index, front] of fronts.entries()) {
    const name = `front-${index + 1}`;
    deployment.start({ name, role: 'entry', host: front, seeds, bootstrap: true });
  }
  const runners = [];
  for (const number of [31, 32, 33]) {
    runners.push(
      await startRunner({
        id: `i-${number}`,
        service: SERVICE,
        host: host(number),
        slots: 6,
        queue: 24,
        controls: addresses,
        work: () => 30,
      }),
    );
  }
  const operator = createOperator(record, addresses);
  if (!(await operator.configure(createConfiguration(1), 12_000)))
    throw new Error('the first configuration was not acknowledged');
  await untilTrafficStarts();

  const counts = new Map();
  let isOver = false;
  const sendRequests = async () => {
    for (let number = 0; !isOver; number += 1) {
      const second = Math.floor(record.seconds());
      const id = randomBytes(8).toString('hex');
      const headers = { host: HOST, 'attempt-id': id, authorization: `Token ${KEY}` };
      const address = `${fronts[number % fronts.length]}:${FRONT_PORT}`;
      const timing = { 'deadline-ms': '1516', connection: 'close' };
      const path = `/look/${number}`;
      call({
        address,
        method: 'GET',
        path,
        headers: { ...headers, ...timing },
        timeoutMilliseconds: 1516,
      }).then(({ status, error }) => {
        const key = `${second} ${status ?? error}`;
        counts.set(key, (counts.get(key) ?? 0) + 1);
      });
      await pause(100);
    }
  };
  const requests = sendRequests();
  if (!(await operator.configure(createConfiguration(2, ['two']), 4000)))
    throw new Error('the second configuration was not acknowledged');
  await pause(2000);

  let nextNumber = 14;
  const replace = async (name) => {
    await deployment.signal(name, 'SIGKILL');
    controls = controls.filter((control) => control.name !== name);
    await pause(SUCCESSOR_MILLISECONDS);
    const successor = { name: `core-${nextNumber - 10}`, seed: host(nextNumber) };
    nextNumber += 1;
    deployment.start({
      name: successor.name,
      role: 'control',
      host: successor.seed,
      seeds,
      bootstrap: false,
    });
    controls = [...controls, successor];
    record.line(`platform: ${name} is removed for good, ${successor.name} takes its place`);
    return successor;
  };

  const leader = deployment.leader();
  record.line(`the group is led by ${leader}`);
  if (trouble) {
    await replace(leader ?? 'core-1');
    await pause(CATCH_UP_MILLISECONDS + MARGIN_MILLISECONDS);
    const second = controls.find(({ name }) => name !== deployment.leader());
    await replace(second.name);
  } else await pause(2 * SUCCESSOR_MILLISECONDS + CATCH_UP_MILLISECONDS + MARGIN_MILLISECONDS);

  // From here on nothing more is disturbed: the core is stable after this time.
  await pause(CATCH_UP_MILLISECONDS + CONTACT_MILLISECONDS);
  record.line('the core has been calm for catch_up_s and contact_ms');
  const calmAt = Math.floor(record.seconds());
  const isTaken = await operator.configure(createConfiguration(3, ['two', 'three']), 15_000);
  const held = await operator.read(15_000);
  await pause(2000);
  isOver = true;
  await requests;
  await pause(1600);
  for (const [key, count] of [...counts].sort(
    ([left], [right]) => Number.parseInt(left, 10) - Number.parseInt(right, 10),
  ))
    record.line(`callers: requests of second ${key}: ${count}`);
  for (const runner of runners) runner.stop();
  const after = [...counts].filter(([key]) => Number.parseInt(key, 10) >= calmAt);
  const sum = (list) => list.reduce((total, [, count]) => total + count, 0);
  const served = sum(after.filter(([key]) => key.endsWith(' 200')));
  for (const name of deployment.names()) {
    const lines = deployment
      .log(name)
      .split('\n')
      .filter((line) => /group(Membership|Role)Changed/u.test(line));
    for (const line of lines) record.line(`log of ${name}: ${line}`);
  }
  const broken = held === null || held.version < (isTaken ? 3 : 2);
  const read = held === null ? 'none' : String(held.version);
  return {
    broken,
    detail: `version 2 was acknowledged, version 3 ${isTaken ? 'too' : 'not'}; the configuration read back is ${read}; ${served} of ${sum(after)} requests served afterwards`,
  };
});
