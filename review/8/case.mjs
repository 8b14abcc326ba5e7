import { Buffer } from 'node:buffer';
import { randomBytes } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { Agent } from 'node:http';
import { clearInterval, setInterval } from 'node:timers';
import { setTimeout as pause } from 'node:timers/promises';
import { createConfiguration, HOST, KEY, SERVICE } from '../lib-2/configuration.mjs';
import { CONTROL_PORT, FRONT_PORT, runCase } from '../lib-2/deployment.mjs';
import { call } from '../lib-2/http.mjs';
import { createOperator } from '../lib-2/operator.mjs';
import { startRunner } from '../lib-2/runner.mjs';

const NET = 87;
const host = (number) => `127.${NET}.0.${number}`;

/** `limits.memory_mb` of a front machine of the site, in bytes. */
const MEMORY_BYTES = 272 * 1024 * 1024;

/** Callers with long bodies at this entry, and the largest `burst` that the site file names. */
const CALLERS = 22;
const BURST = 1.7;

/** Callers that send short requests all the time. */
const STEADY_CALLERS = 16;

/** `max_body_bytes` of the configuration. */
const BODY_BYTES = 4_194_304;

/** Longest work of a request to the registry in the site file, in milliseconds. */
const WORK_MILLISECONDS = 220;

/** Memory of a process in bytes; `null` if it has ended. */
function residentBytes(pid) {
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    return Number(/^VmRSS:\s+(\d+) kB$/mu.exec(status)?.[1] ?? 0) * 1024;
  } catch {
    return null;
  }
}

await runCase(new URL('record.txt', import.meta.url), async (setup) => {
  const { record, deployment, trouble, untilTrafficStarts } = setup;
  const seeds = [host(11), host(12), host(13)];
  const addresses = () => seeds.map((seed) => `${seed}:${CONTROL_PORT}`);
  for (const [index, seed] of seeds.entries())
    deployment.start({
      name: `core-${index + 1}`,
      role: 'control',
      host: seed,
      seeds,
      bootstrap: true,
    });
  const front = host(21);
  deployment.start({ name: 'front-1', role: 'entry', host: front, seeds, bootstrap: true });
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
        work: () => WORK_MILLISECONDS,
      }),
    );
  }
  const operator = createOperator(record, addresses);
  if (!(await operator.configure(createConfiguration(1), 12_000)))
    throw new Error('the first configuration was not acknowledged');
  await untilTrafficStarts();

  // The platform kills a process that uses more than its memory.
  const pid = deployment.pid('front-1');
  let largest = 0;
  let isKilled = false;
  const watch = setInterval(() => {
    const bytes = residentBytes(pid);
    if (bytes === null) return;
    largest = Math.max(largest, bytes);
    if (bytes <= MEMORY_BYTES || isKilled) return;
    isKilled = true;
    record.line(`platform: front-1 uses ${bytes} bytes, more than ${MEMORY_BYTES}; it is killed`);
    void deployment.signal('front-1', 'SIGKILL');
  }, 20);

  const body = Buffer.alloc(BODY_BYTES, 'x');
  const createCallers = (kind, count) =>
    Array.from({ length: count }, (_, index) => ({
      name: `${kind}-${index + 1}`,
      agent: new Agent({ keepAlive: true, maxSockets: 1 }),
    }));
  const callers = createCallers('long', Math.round(CALLERS * (trouble ? BURST : 1)));
  const steadyCallers = createCallers('steady', STEADY_CALLERS);
  const results = [];
  const send = async ({ name, agent }, method, path, bytes) => {
    const id = randomBytes(8).toString('hex');
    const { status, error } = await call({
      address: `${front}:${FRONT_PORT}`,
      method,
      path,
      headers: {
        host: HOST,
        'attempt-id': id,
        authorization: `Token ${KEY}`,
        'deadline-ms': '6000',
        ...(bytes === undefined ? {} : { 'content-length': String(bytes.length) }),
      },
      body: bytes,
      agent,
      timeoutMilliseconds: 6000,
    });
    results.push({ id, status });
    const size = bytes?.length ?? 0;
    record.line(`callers: ${name} ${method} ${path} ${id}, ${size} bytes: ${status ?? error}`);
    return status;
  };
  // Each channel is kept from an earlier request.
  const everyone = [...callers, ...steadyCallers];
  await Promise.all(everyone.map(async (caller) => send(caller, 'GET', '/look/1')));
  let isOver = false;
  const short = Buffer.alloc(600, 'x');
  const steady = steadyCallers.map(async (caller) => {
    while (!isOver && (await send(caller, 'POST', '/log/short', short)) !== undefined);
  });
  await pause(1000);
  record.line(`${callers.length} callers send ${BODY_BYTES} bytes each`);
  await Promise.all(callers.map(async (caller) => send(caller, 'POST', '/log/long', body)));
  isOver = true;
  await Promise.all(steady);
  await pause(500);
  clearInterval(watch);
  const run = new Set(runners.flatMap(({ state }) => state.run.map(({ attemptId }) => attemptId)));
  const unanswered = results.filter(({ status }) => status === undefined);
  const lost = unanswered.filter(({ id }) => run.has(id));
  record.line(`runners: ${run.size} requests were run`);
  record.line(`front-1 used ${largest} bytes at most`);
  for (const runner of runners) runner.stop();
  for (const { agent } of everyone) agent.destroy();
  return {
    broken: lost.length > 3,
    detail: `${lost.length} requests from kept channels were passed on and their channels closed without an answer, ${unanswered.length} of ${results.length} ended so in all; largest use ${largest} bytes`,
  };
});
