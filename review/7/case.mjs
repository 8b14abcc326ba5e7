import { randomBytes } from 'node:crypto';
import { setTimeout as pause } from 'node:timers/promises';
import { createConfiguration, HOST, KEY, SERVICE } from '../lib-2/configuration.mjs';
import { CONTROL_PORT, FRONT_PORT, runCase } from '../lib-2/deployment.mjs';
import { call } from '../lib-2/http.mjs';
import { createOperator } from '../lib-2/operator.mjs';
import { startRunner } from '../lib-2/runner.mjs';

/** `revoke_ms` of the site. */
const REVOKE_MILLISECONDS = 5000;

/** `down_s` of the closing `kill_all` of the site's day scale-1. */
const DOWN_MILLISECONDS = 870;

/** Changes of the config before the key is taken away; a day may hold hundreds. */
const CHANGES = 70;

/** Time between two of them; the slowest `config_storm` of the site has this gap. */
const CHANGE_INTERVAL_MILLISECONDS = 900;

/** A key that is kept, so that the tenant goes on. */
const KEPT_KEY = 'kq7c1m0t9zr4hd2v8xwb';

/** Entries and runners; by SYSTEM.md the site has 15 and 10. */
const FRONTS = [21, 22, 23, 24, 25, 26];
const RUNNERS = [31, 32, 33, 34, 35, 36, 37, 38, 39, 40];

/** Time between two requests; the site has 118 of them a second. */
const REQUEST_INTERVAL_MILLISECONDS = 10;

await runCase(new URL('record.txt', import.meta.url), async (setup) => {
  const { record, deployment, trouble, host, untilTrafficStarts } = setup;
  const seeds = [host(11), host(12), host(13)];
  const addresses = () => seeds.map((seed) => `${seed}:${CONTROL_PORT}`);
  const fronts = FRONTS.map(host);
  const startAll = (bootstrap) => {
    for (const [index, seed] of seeds.entries())
      deployment.start({
        name: `core-${index + 1}`,
        role: 'control',
        host: seed,
        seeds,
        bootstrap,
      });
    for (const [index, front] of fronts.entries())
      deployment.start({
        name: `front-${index + 1}`,
        role: 'entry',
        host: front,
        seeds,
        bootstrap,
      });
  };
  startAll(true);
  const runners = [];
  for (const number of RUNNERS) {
    runners.push(
      await startRunner({
        id: `i-${number}`,
        service: SERVICE,
        host: host(number),
        slots: 6,
        queue: 24,
        controls: addresses,
        work: () => 20,
      }),
    );
    await pause(1200 / RUNNERS.length);
  }
  const operator = createOperator(record, addresses);
  const configuration = (version, keys) => ({
    ...createConfiguration(version),
    tenants: [{ name: 'bozi300', api_keys: keys, priority: 1 }],
  });
  const configure = async (version, keys) => {
    if (!(await operator.configure(configuration(version, keys), 12_000)))
      throw new Error(`configuration ${version} was not acknowledged`);
  };
  await configure(1, [KEPT_KEY, KEY]);
  await untilTrafficStarts();

  const sent = new Map();
  const calls = [];
  let isOver = false;
  const send = async (number) => {
    const id = randomBytes(8).toString('hex');
    const request = { at: Date.now(), end: null };
    sent.set(id, request);
    const { status, error } = await call({
      address: `${fronts[number % fronts.length]}:${FRONT_PORT}`,
      method: 'POST',
      path: `/look/${number}`,
      headers: {
        host: HOST,
        'attempt-id': id,
        authorization: `Token ${KEY}`,
        'deadline-ms': '800',
        connection: 'close',
        'content-length': '0',
      },
      timeoutMilliseconds: 1500,
    });
    request.end = status ?? error;
  };
  const sendAll = async () => {
    for (let number = 0; !isOver; number += 1) {
      calls.push(send(number));
      await pause(REQUEST_INTERVAL_MILLISECONDS);
    }
  };
  const sending = sendAll();
  for (let version = 2; version <= CHANGES; version += 1) {
    await configure(version, [KEPT_KEY, KEY]);
    await pause(CHANGE_INTERVAL_MILLISECONDS);
  }
  await configure(CHANGES + 1, [KEPT_KEY]);
  const acknowledgedAt = Date.now();
  record.line('the key has been taken away, acknowledged now');
  await pause(REVOKE_MILLISECONDS + 2000);
  await configure(CHANGES + 2, [KEPT_KEY]);
  if (trouble) {
    await Promise.all(deployment.names().map((name) => deployment.signal(name, 'SIGKILL')));
    await pause(DOWN_MILLISECONDS);
    startAll(false);
  }
  await pause(6000);
  isOver = true;
  await sending;
  await Promise.all(calls);
  for (const { stop } of runners) stop();

  const run = new Set(runners.flatMap(({ state }) => state.run).map(({ attemptId }) => attemptId));
  const isLate = ([id, { at }]) => run.has(id) && at > acknowledgedAt + REVOKE_MILLISECONDS;
  const late = [...sent].filter(isLate);
  for (const [id, { at, end }] of late)
    record.line(
      `i-31 ran ${id}, sent ${at - acknowledgedAt} ms after the ack; the caller got ${end}`,
    );
  const counts = new Map();
  for (const { at, end } of sent.values()) {
    const key = `${Math.floor((at - acknowledgedAt) / 1000)} s: ${end}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  for (const [key, count] of counts) record.line(`callers: ${key}: ${count}`);
  return {
    broken: late.length > 0,
    detail: `${late.length} requests with the key taken away were run`,
  };
});
