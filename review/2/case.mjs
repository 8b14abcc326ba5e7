// Model runners spoil single bytes in the heads of some answers; requesters of a resumable streaming
// route must never get a success without the runner's Server-Seal.
import { Agent } from 'node:http';
import { dirname } from 'node:path';
import { performance } from 'node:perf_hooks';
import { setTimeout as pause } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { Buffer } from 'node:buffer';
import { buildConfig, KEY, MODEL } from '../lib/config.mjs';
import { findNetwork, startDeployment } from '../lib/deployment.mjs';
import { call, createId, putConfig } from '../lib/http.mjs';
import { readBody, SEAL, startRunner } from '../lib/runner.mjs';
import { runCase } from '../lib/record.mjs';

const RUNNERS = 6;
/** Share of the runners that spoil answers, and share of their answers that they spoil. */
const SPOILING_RUNNERS = 2;
const SPOILT_SHARE = 0.02;
/** Length of one disruption, and the pause to the next. */
const SPOILING_MILLISECONDS = 5500;
const PAUSE_MILLISECONDS = 2000;
const EVENTS = 6;
const EVENT_MILLISECONDS = 20;
const SECONDS = 60;
const INTERVAL_MILLISECONDS = 12;

await runCase(dirname(fileURLToPath(import.meta.url)), async (record, isTroubled, disposals) => {
  const net = await findNetwork();
  const addresses = Array.from(
    { length: RUNNERS },
    (_value, index) => `${net}.${201 + index}:9001`,
  );
  const deployment = await startDeployment({ net, engines: addresses, engineService: 'engines' });
  disposals.push(() => deployment.end());
  const { controls, fronts } = deployment;
  const spoilt = [];
  let isSpoiling = false;

  const answer = async (request, response, { requestId, runner }) => {
    await readBody(request);
    const first = Number(request.headers['last-event-id'] ?? 0) + 1;
    record.add(`run ${requestId} ${runner.id} from event ${first}`);
    await pause(30);
    const headers = [
      `Attempt-Id: ${requestId}`,
      `Server-Seal: ${SEAL}`,
      'Content-Type: text/event-stream',
      'Server-Load: 3,0,16',
      'Weight-Versions: 1',
      'Transfer-Encoding: chunked',
    ];
    let head = Buffer.from(`HTTP/1.1 200 OK\r\n${headers.join('\r\n')}\r\n\r\n`, 'latin1');
    const isSpoiler = addresses.indexOf(runner.address) < SPOILING_RUNNERS;
    if (isSpoiling && isSpoiler && Math.random() < SPOILT_SHARE) {
      // One bit of one byte of the head turns over, behind the status line.
      const offset = 17 + Math.floor(Math.random() * (head.length - 21));
      head = Buffer.from(head);
      head[offset] ^= 0x80;
      spoilt.push(requestId);
      record.add(`spoilt ${requestId} ${runner.id} byte ${offset}`);
    }
    const { socket } = response;
    socket.write(head);
    for (let event = first; event <= EVENTS; event += 1) {
      if (socket.destroyed) return;
      const text = `id: ${event}\ndata: piece ${event}\n\n`;
      socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
      await pause(EVENT_MILLISECONDS);
    }
    // The answer was written by hand, so its channel ends with it.
    socket.end('0\r\n\r\n');
  };
  for (const [index, address] of addresses.entries()) {
    const runner = await startRunner({
      id: `i-runner-${index + 1}`,
      service: 'engines',
      address,
      controls,
      answer,
      isEngine: true,
    });
    disposals.push(() => runner.close());
  }
  await putConfig(controls, buildConfig());

  const agents = Array.from({ length: 24 }, () => new Agent({ keepAlive: true, maxSockets: 1 }));
  disposals.push(() => agents.forEach((agent) => agent.destroy()));
  const send = async (index) => {
    const id = createId();
    record.add(`sent ${id}`);
    const answered = await call(fronts[0], {
      method: 'POST',
      path: `/stream/${index}`,
      agent: agents[index % agents.length],
      headers: {
        Host: 'a.example',
        'Attempt-Id': id,
        Model: MODEL,
        'Token-Count': '900,60',
        'Deadline-Ms': '6000',
        Authorization: `Token ${KEY}`,
      },
      body: 'prompt',
      timeout: 7000,
    });
    const seal = answered.headers['server-seal'] ?? 'none';
    record.add(
      `answered ${id} ${answered.status} seal ${seal} complete ${answered.isComplete} bytes ${answered.body.length}`,
    );
    return { id, seal, ...answered };
  };

  const deadline = performance.now() + 30_000;
  while ((await send(0)).status !== 200) {
    if (performance.now() > deadline) throw new Error('the deployment does not serve');
    await pause(200);
  }
  const pending = [];
  const startedAt = performance.now();
  for (let index = 0; performance.now() - startedAt < SECONDS * 1000; index += 1) {
    const phase = (performance.now() - startedAt) % (SPOILING_MILLISECONDS + PAUSE_MILLISECONDS);
    isSpoiling = isTroubled && phase > PAUSE_MILLISECONDS;
    pending.push(send(index));
    await pause(INTERVAL_MILLISECONDS);
  }
  const answers = await Promise.all(pending);
  const served = answers.filter(({ status, isComplete }) => status === 200 && isComplete).length;
  record.add(`${answers.length} requests, ${served} served, ${spoilt.length} answers spoilt`);
  if (served < answers.length / 2) throw new Error('fewer than half of the requests were served');
  return answers
    .filter(({ status, seal }) => status >= 200 && status < 300 && seal !== SEAL)
    .map(
      ({ id, status, seal, body }) =>
        `${id}: success ${status} with Server-Seal ${seal} and ${body.length} bytes`,
    );
});
