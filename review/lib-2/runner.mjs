import { once } from 'node:events';
import { createServer } from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';
import { call } from './http.mjs';

const HEARTBEAT_MILLISECONDS = 1200;

/** A sound runner of a plain service: it announces itself and answers each request after its work. */
export async function startRunner({
  id,
  service,
  host,
  port = 8080,
  slots,
  queue,
  controls,
  work,
}) {
  const born = Date.now();
  const state = { arrivals: [], run: [], ended: [], refused: 0, isStopped: false };
  let announced = 'ready';
  let running = 0;
  const waiting = [];
  const enter = async () => {
    if (running < slots) running += 1;
    else await new Promise((resolve) => waiting.push(resolve));
  };
  const leave = () => {
    const next = waiting.shift();
    if (next === undefined) running -= 1;
    else next();
  };

  const answer = async (request, response) => {
    const attemptId = String(request.headers['attempt-id']);
    let isOpen = true;
    response.once('close', () => {
      isOpen = false;
    });
    if (request.headers['expect-instance'] !== id) {
      request.resume();
      response.writeHead(421, { 'attempt-id': attemptId });
      response.end();
      return;
    }
    state.arrivals.push({ attemptId, at: Date.now() });
    if (waiting.length >= queue) {
      request.resume();
      state.refused += 1;
      response.writeHead(503, { 'attempt-id': attemptId, 'not-executed': '1' });
      response.end();
      return;
    }
    let bytes = 0;
    for await (const part of request) bytes += part.length;
    await enter();
    try {
      if (!isOpen) return;
      state.run.push({ attemptId, bytes, path: request.url });
      await pause(work(request));
      if (!isOpen) return;
      response.writeHead(200, {
        'attempt-id': attemptId,
        'server-seal': `seal.${id}.${attemptId}`,
        'server-load': `${running},${waiting.length},${slots}`,
      });
      response.end(`answer of ${id} to ${attemptId}`);
      state.ended.push(attemptId);
    } finally {
      leave();
    }
  };

  const server = createServer((request, response) => {
    answer(request, response).catch(() => response.destroy());
  });
  server.listen(port, host);
  await once(server, 'listening');

  let sequence = 0;
  /** Sends a heartbeat to one control address after the other; resolves to whether one took it. */
  const announce = async () => {
    sequence += 1;
    const body = JSON.stringify({
      service,
      address: `${host}:${port}`,
      zone: 'maz-a',
      version: 'v1',
      slots,
      state: announced,
      cold_remaining_ms: 0,
      seq_no: sequence,
      born,
    });
    const addresses = controls();
    for (let tries = 0; tries < addresses.length; tries += 1) {
      const answered = await call({
        address: addresses[(sequence + tries) % addresses.length],
        method: 'PUT',
        path: `/burdockrail/instances/${id}`,
        headers: { 'content-type': 'application/json', connection: 'close' },
        body,
        timeoutMilliseconds: 1000,
      });
      if (answered.status >= 200 && answered.status < 300) return true;
    }
    return false;
  };
  const beat = async () => {
    while (!state.isStopped) {
      await announce();
      await pause(HEARTBEAT_MILLISECONDS);
    }
  };
  void beat();
  return {
    state,
    /** Reports that it drains; resolves to the time of the acknowledgement, `null` without one. */
    drain: async () => {
      announced = 'draining';
      return (await announce()) ? Date.now() : null;
    },
    stop: () => {
      state.isStopped = true;
      server.close();
      server.closeAllConnections();
    },
  };
}
