// A runner of the users' infrastructure: it registers itself, answers requests and, as a model
// runner, its machine's agent. It runs inside the process of the test.
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { setTimeout as pause } from 'node:timers/promises';
import { Buffer } from 'node:buffer';
import { call } from './http.mjs';
import { MODEL } from './config.mjs';

export const SEAL = 'seal-of-the-runner';

export async function readBody(request) {
  const parts = [];
  for await (const part of request) parts.push(part);
  return Buffer.concat(parts);
}

/**
 * Starts a runner. `answer(request, response, context)` handles requests that are meant for it;
 * `context` has the request's id and the runner.
 */
export async function startRunner({
  id,
  service,
  address,
  controls,
  answer,
  slots = 16,
  isEngine = false,
  layers = 16,
  version = 1,
  beatMilliseconds = 1200,
  onAdmin,
}) {
  const born = Date.now();
  const [host, port] = address.split(':');
  const runner = {
    id,
    address,
    born,
    state: 'ready',
    isStopped: false,
    version,
    sequence: 0,
    orders: 0,
    busy: false,
    beats: [],
    arrivals: [],
  };
  const modelFields = () =>
    isEngine
      ? {
          stage: 'both',
          models:
            runner.version === 0 ? [] : [{ name: MODEL, version: runner.version, adapters: [] }],
          layers: { from: 0, to: runner.version === 0 ? 0 : layers, version: runner.version },
        }
      : {};
  const sendJson = (response, status, value) => {
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(value));
  };
  const handle = async (request, response) => {
    const { pathname } = new URL(request.url, 'http://runner');
    if (pathname === '/burdockrail/report') {
      sendJson(response, 200, {
        ...modelFields(),
        busy: runner.busy,
        seq_no: runner.orders,
        waiting: 0,
        running: 0,
        kv_used: 0,
        kv_total: 1180000,
        handles: 0,
        born,
      });
      return;
    }
    if (pathname.startsWith('/burdockrail/')) {
      if (onAdmin === undefined) sendJson(response, 400, {});
      else await onAdmin(request, response, runner);
      return;
    }
    const requestId = String(request.headers['attempt-id']);
    const expectedVersion = request.headers['expect-version'];
    const isMisdirected =
      (request.headers['expect-instance'] ?? id) !== id ||
      (expectedVersion !== undefined && Number(expectedVersion) !== runner.version);
    if (isMisdirected) {
      response.writeHead(421, {
        'attempt-id': requestId,
        'not-executed': '1',
        'content-length': '0',
      });
      response.end();
      return;
    }
    runner.arrivals.push({ requestId, at: performance.now() });
    await answer(request, response, { requestId, runner });
  };
  const server = createServer({ keepAliveTimeout: 8000 }, (request, response) => {
    handle(request, response).catch(() => response.destroy());
  });
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(Number(port), host, resolve);
  });
  const beat = async (control) => {
    runner.sequence += 1;
    const body = JSON.stringify({
      service,
      address,
      zone: 'north',
      version: 'v1',
      slots,
      state: runner.state,
      cold_remaining_ms: 0,
      ...modelFields(),
      seq_no: runner.sequence,
      born,
    });
    const answered = await call(control, {
      method: 'PUT',
      path: `/burdockrail/instances/${id}`,
      headers: { 'content-type': 'application/json' },
      body,
      timeout: 1000,
    });
    runner.beats.push({
      at: performance.now(),
      control,
      sequence: runner.sequence,
      status: answered.status,
    });
    return answered.status === 200;
  };
  const beatUntilStopped = async () => {
    let next = Math.floor(Math.random() * controls.length);
    while (!runner.isStopped) {
      for (
        let tries = 0;
        tries < controls.length && !runner.isStopped && !runner.isQuiet;
        tries += 1
      ) {
        next = (next + 1) % controls.length;
        if (await beat(controls[next])) break;
      }
      for (let waited = 0; waited < beatMilliseconds && !runner.isStopped; waited += 50)
        await pause(50);
    }
  };
  const beating = beatUntilStopped();
  return Object.assign(runner, {
    beat,
    leave: async (control) =>
      call(control, {
        method: 'DELETE',
        path: `/burdockrail/instances/${id}`,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ born }),
        timeout: 1000,
      }),
    close: async () => {
      runner.isStopped = true;
      await beating;
      server.closeAllConnections();
      await new Promise((resolve) => server.close(resolve));
    },
  });
}
