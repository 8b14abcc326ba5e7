// A runner that leaves ends its registration first; the control process that has acknowledged this is
// lost right after its ack. Requests must not reach the runner later than `drain_ms` after the ack.
import { Buffer } from 'node:buffer';
import { dirname } from 'node:path';
import { performance } from 'node:perf_hooks';
import { setTimeout as pause } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { buildConfig, KEY } from '../lib/config.mjs';
import { findNetwork, startDeployment } from '../lib/deployment.mjs';
import { call, createId, putConfig } from '../lib/http.mjs';
import { readBody, SEAL, startRunner } from '../lib/runner.mjs';
import { runCase } from '../lib/record.mjs';

const DRAIN_MILLISECONDS = 2000;
const CONTACT_MILLISECONDS = 3000;
/** Time from the ack for which the leaving runner still serves. */
const LINGER_MILLISECONDS = 3500;
/** Time for which the lost control process stays down. */
const DOWN_MILLISECONDS = 3500;
const INTERVAL_MILLISECONDS = 10;
const WORK_MILLISECONDS = 30;

await runCase(dirname(fileURLToPath(import.meta.url)), async (record, isTroubled, disposals) => {
  const net = await findNetwork();
  const deployment = await startDeployment({ net, entries: 2 });
  disposals.push(() => deployment.end());
  const { controls, fronts } = deployment;
  const answer = async (request, response, { requestId, runner }) => {
    await readBody(request);
    record.add(`run ${requestId} ${runner.id}`);
    await pause(WORK_MILLISECONDS);
    response.writeHead(200, {
      'attempt-id': requestId,
      'server-seal': SEAL,
      'server-load': '1,0,6',
    });
    response.end(Buffer.alloc(800, 'a'));
  };
  const runners = [];
  for (let index = 1; index <= 3; index += 1) {
    const runner = await startRunner({
      id: `i-app-${index}`,
      service: 'app',
      address: `${net}.${100 + index}:9003`,
      controls,
      answer,
      slots: 6,
    });
    disposals.push(() => runner.close());
    runners.push(runner);
  }
  await putConfig(controls, buildConfig());
  const sentAt = new Map();
  const send = async (index) => {
    const id = createId();
    sentAt.set(id, performance.now());
    record.add(`sent ${id}`);
    const answered = await call(fronts[index % fronts.length], {
      path: `/safe/${index}`,
      headers: {
        Host: 'a.example',
        'Attempt-Id': id,
        'Deadline-Ms': '1500',
        Authorization: `Token ${KEY}`,
      },
    });
    record.add(`answered ${id} ${answered.status}`);
    return answered;
  };
  const deadline = performance.now() + 30_000;
  for (let served = 0; served < 6;) {
    const { status } = await send(served);
    served = status === 200 ? served + 1 : 0;
    if (performance.now() > deadline) throw new Error('the deployment does not serve');
    await pause(100);
  }
  // All machines are in touch: nothing is disrupted for more than `contact_ms`.
  let isEnding = false;
  const traffic = (async () => {
    const pending = [];
    for (let index = 0; !isEnding; index += 1) {
      pending.push(send(index));
      await pause(INTERVAL_MILLISECONDS);
    }
    return Promise.all(pending);
  })();
  await pause(CONTACT_MILLISECONDS + 2000);

  const breaks = [];
  const [leaving] = runners;
  // It leaves at once after one of its heartbeats.
  const beats = leaving.beats.length;
  while (leaving.beats.length === beats) await pause(10);
  leaving.isQuiet = true;
  const victim = 1 + Math.floor(Math.random() * 2);
  const acknowledged = await leaving.leave(controls[victim]);
  const acknowledgedAt = performance.now();
  if (isTroubled) deployment.signal(`core-${11 + victim}`, 'SIGKILL');
  const killedAt = performance.now();
  if (acknowledged.status !== 200)
    throw new Error(`the leave was answered with ${acknowledged.status}`);
  record.add(
    `acknowledged by core-${11 + victim}: ${leaving.id} leaves${isTroubled ? '; core killed' : ''}`,
  );
  await pause(DOWN_MILLISECONDS);
  if (isTroubled) {
    record.add(`core-${11 + victim} starts again`);
    deployment.start(`core-${11 + victim}`);
  }
  const startedAgainAt = performance.now();
  await pause(LINGER_MILLISECONDS - DOWN_MILLISECONDS);
  isEnding = true;
  const answers = await traffic;
  const served = answers.filter(({ status }) => status === 200).length;
  // After the kill, the core is stable and the entries are in touch again from `contact_ms` after it
  // until the process is started again. Only requests count that were sent and arrived in that time.
  const late = leaving.arrivals.filter(({ requestId, at }) => {
    const isInTouch =
      sentAt.get(requestId) > killedAt + CONTACT_MILLISECONDS && at < startedAgainAt;
    return (isInTouch || !isTroubled) && at > acknowledgedAt + DRAIN_MILLISECONDS;
  });
  record.add(
    `summary: ${answers.length} requests, ${served} served, ${late.length} reached ${leaving.id} too late`,
  );
  for (const { requestId, at } of late)
    breaks.push(
      `${requestId} reached ${leaving.id} ${Math.round(at - acknowledgedAt)} ms after the ack`,
    );
  return breaks;
});
