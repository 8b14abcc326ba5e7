// A small deployment whose model runners send some answers without end, until the caller closes.
import { request as createRequest, Agent } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import { setTimeout as pause } from 'node:timers/promises';
import { Buffer } from 'node:buffer';
import { buildConfig, KEY, MODEL } from './config.mjs';
import { findNetwork, startDeployment } from './deployment.mjs';
import { createId, putConfig } from './http.mjs';
import { readBody, SEAL, startRunner } from './runner.mjs';

const RUNNERS = 6;
const ENTRIES = 2;
/** Time from the arrival of a request to its first event, and from one event to the next. */
const FIRST_EVENT_MILLISECONDS = 250;
const EVENT_MILLISECONDS = 40;
const EVENTS = 6;
/** Duration of a plain request. */
const PLAIN_MILLISECONDS = 30;
/** Longest time without an event before a requester leaves a stream: eight times the pause. */
const GAP_MILLISECONDS = 3200;
const RESTART_MILLISECONDS = 500;
/** Runners in trouble together send no faster than the link of an entry, 490 Mbit/s; bytes per ms. */
const LINK_BYTES = 61_000;

const deadlines = { stream: 6000, once: 1500 };

export function answerHead(status, requestId, headers) {
  const lines = [`Attempt-Id: ${requestId}`, `Server-Seal: ${SEAL}`, ...headers];
  return `HTTP/1.1 ${status}\r\n${lines.join('\r\n')}\r\n\r\n`;
}

/**
 * Plays a case.
 *
 * `endless(count, elapsed, runner)` tells whether an answer has no end, from the number of such answers so
 * far, the milliseconds since the trouble began and the number of the runner; `head(requestId)` and
 * `block` are what is then sent.
 */
export async function playEndless(
  { record, isTroubled, disposals },
  { seconds, streamsPerSecond, oncePerSecond, endless, head, block },
) {
  const net = await findNetwork();
  const addresses = Array.from(
    { length: RUNNERS },
    (_value, index) => `${net}.${201 + index}:9001`,
  );
  const deployment = await startDeployment({
    net,
    entries: ENTRIES,
    engines: addresses,
    engineService: 'engines',
  });
  disposals.push(() => deployment.end());
  const { controls, fronts, ended } = deployment;
  const runners = [];
  const troubled = new Set();
  const troubledRunners = new Set();
  let troubledSince = Number.POSITIVE_INFINITY;
  let linkFreeAt = 0;

  const sendWithoutEnd = async (socket) => {
    while (!socket.destroyed) {
      const now = performance.now();
      linkFreeAt = Math.max(now, linkFreeAt) + block.length / LINK_BYTES;
      const isTaken = socket.write(block);
      if (!isTaken)
        await Promise.race([new Promise((resolve) => socket.once('drain', resolve)), pause(200)]);
      await pause(Math.max(0, linkFreeAt - now));
    }
  };
  const answer = async (request, response, { requestId, runner }) => {
    await readBody(request);
    if (runner.id.startsWith('i-app')) {
      record.add(`run ${requestId} ${runner.id}`);
      await pause(PLAIN_MILLISECONDS);
      response.writeHead(200, {
        'attempt-id': requestId,
        'server-seal': SEAL,
        'server-load': '1,0,6',
      });
      response.end(Buffer.alloc(800, 'a'));
      return;
    }
    const first = Number(request.headers['last-event-id'] ?? 0) + 1;
    const elapsed = performance.now() - troubledSince;
    const isEndless = elapsed > 0 && endless(troubled.size, elapsed, runners.indexOf(runner) + 1);
    if (isEndless) {
      troubled.add(requestId);
      troubledRunners.add(runner.id);
    }
    record.add(`run ${requestId} ${runner.id}${isEndless ? ' without end' : ''}`);
    await pause(FIRST_EVENT_MILLISECONDS);
    if (isEndless) {
      const { socket } = response;
      socket.setMaxListeners(0);
      socket.write(head(requestId));
      await sendWithoutEnd(socket);
      return;
    }
    response.writeHead(200, {
      'attempt-id': requestId,
      'server-seal': SEAL,
      'content-type': 'text/event-stream',
    });
    for (let event = first; event <= EVENTS; event += 1) {
      response.write(`id: ${event}\ndata: piece ${event}\n\n`);
      await pause(EVENT_MILLISECONDS);
    }
    response.end();
  };
  const addRunner = async (options) => {
    const runner = await startRunner({ controls, answer, ...options });
    disposals.push(() => runner.close());
    return runner;
  };
  for (const [index, address] of addresses.entries())
    runners.push(
      await addRunner({ id: `i-runner-${index + 1}`, service: 'engines', address, isEngine: true }),
    );
  for (let index = 1; index <= 3; index += 1)
    await addRunner({
      id: `i-app-${index}`,
      service: 'app',
      address: `${net}.${100 + index}:9003`,
      slots: 6,
    });
  await putConfig(controls, buildConfig());

  const agents = fronts.map(() => new Agent({ keepAlive: true, keepAliveMsecs: 10_000 }));
  disposals.push(() => agents.forEach((agent) => agent.destroy()));
  const send = async (kind, index) => {
    const id = createId();
    const front = index % ENTRIES;
    const [host, port] = fronts[front].split(':');
    record.add(`sent ${id} ${kind} to front-${front + 1}`);
    return new Promise((resolve) => {
      const seen = {
        id,
        kind,
        front,
        status: 0,
        isComplete: false,
        isKept: false,
        hasLeft: false,
        sentAt: performance.now(),
        endedAt: 0,
      };
      let tail = '';
      let timer;
      const outgoing = createRequest({
        host,
        port,
        method: 'POST',
        path: `/${kind}/${index}`,
        agent: agents[front],
        headers: {
          Host: 'a.example',
          'Attempt-Id': id,
          ...(kind === 'stream' ? { Model: MODEL, 'Token-Count': '900,60' } : {}),
          'Deadline-Ms': String(deadlines[kind]),
          Authorization: `Token ${KEY}`,
        },
      });
      const leave = () => {
        seen.hasLeft = true;
        outgoing.destroy();
      };
      const restartTimer = () => {
        clearTimeout(timer);
        timer = setTimeout(leave, kind === 'stream' ? GAP_MILLISECONDS : deadlines[kind]);
      };
      restartTimer();
      outgoing.on('response', (response) => {
        seen.status = response.statusCode;
        response.on('data', (bytes) => {
          if (kind !== 'stream') return;
          tail = tail.slice(-20) + bytes.subarray(-200).toString('latin1');
          if (tail.includes('data: ')) restartTimer();
        });
        response.on('error', () => undefined);
        response.on('close', () => {
          seen.isComplete = response.complete;
        });
      });
      outgoing.on('error', () => undefined);
      outgoing.on('close', () => {
        clearTimeout(timer);
        seen.isKept = outgoing.reusedSocket;
        seen.endedAt = performance.now();
        const end =
          seen.status === 0 ? 'no answer' : `${seen.status}${seen.isComplete ? '' : ' incomplete'}`;
        const milliseconds = Math.round(seen.endedAt - seen.sentAt);
        record.add(
          `front-${front + 1} ${id} ${end} after ${milliseconds} ms${seen.isKept ? ', kept channel' : ''}${seen.hasLeft ? ', the requester left' : ''}`,
        );
        resolve(seen);
      });
      outgoing.end('body');
    });
  };

  const deadline = performance.now() + 30_000;
  for (let served = 0; served < 2 * ENTRIES;) {
    const ends = await Promise.all([send('stream', served), send('once', served)]);
    served = ends.every(({ status }) => status === 200) ? served + 1 : 0;
    if (performance.now() > deadline) throw new Error('the deployment does not serve');
    await pause(100);
  }
  let isOver = false;
  // The platform starts a process again that has ended.
  const restarts = (async () => {
    while (!isOver) {
      for (const name of ['front-1', 'front-2'])
        if (!deployment.isRunning(name)) {
          record.add(`${name} has ended by itself`);
          await pause(RESTART_MILLISECONDS);
          if (!isOver) deployment.start(name);
        }
      await pause(50);
    }
  })();
  const pending = [];
  const startedAt = performance.now();
  if (isTroubled) troubledSince = startedAt + 5_000;
  const sendSteadily = async (kind, perSecond) => {
    for (let index = 0; performance.now() - startedAt < seconds * 1000; index += 1) {
      pending.push(send(kind, index));
      await pause(Math.max(0, startedAt + ((index + 1) * 1000) / perSecond - performance.now()));
    }
  };
  await Promise.all([
    sendSteadily('stream', streamsPerSecond),
    sendSteadily('once', oncePerSecond),
  ]);
  troubledSince = Number.POSITIVE_INFINITY;
  const answers = await Promise.all(pending);
  isOver = true;
  await restarts;

  const ranAt = new Map();
  for (const runner of runners)
    for (const { requestId } of runner.arrivals)
      ranAt.set(requestId, [...(ranAt.get(requestId) ?? []), runner.id]);
  // Passed on from a kept channel, only to runners that are in no trouble at all, and closed.
  const isSound = (id) => ranAt.has(id) && !ranAt.get(id).some((name) => troubledRunners.has(name));
  const lost = answers
    .filter(({ id, status, isKept, hasLeft }) => status === 0 && isKept && !hasLeft && isSound(id))
    .map(
      ({ id, front }) =>
        `${id}: front-${front + 1} passed it on from a kept channel to ${ranAt.get(id).join()}, and closed without an answer`,
    );
  const served = answers.filter(({ status, isComplete }) => status === 200 && isComplete).length;
  record.add(
    `summary: ${answers.length} requests, ${served} served, ${troubled.size} answers without end, ${lost.length} lost at sound runners, ${ended.length} own ends: ${ended.join('; ')}`,
  );
  if (!isTroubled && served < answers.length * 0.9)
    throw new Error('the calm deployment does not serve');
  return { answers, lost, ended, troubled };
}
