import { Buffer } from 'node:buffer';
import { createHash, randomBytes } from 'node:crypto';
import { once } from 'node:events';
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { setTimeout as pause } from 'node:timers/promises';
import { call } from '../lib-2/http.mjs';

export const MODEL = 'daka510000';
export const CHUNKS = 96;
export const CHUNK_BYTES = 24_576;
export const LAYERS = 16;
const HEARTBEAT_MILLISECONDS = 1200;
/** Time for which a piece that turned bad before it was taken is excused. */
const EXCUSED_MILLISECONDS = 3000;

const pieces = new Map();

/** Bytes of one piece of a version. */
export function piece(version, index) {
  const key = `${version} ${index}`;
  if (!pieces.has(key)) pieces.set(key, randomBytes(CHUNK_BYTES));
  return pieces.get(key);
}
const digest = (bytes) => createHash('sha256').update(bytes).digest('hex');

function sendJson(response, status, value) {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(value));
}

async function listen(handle, host, port) {
  const server = createServer((request, response) => {
    handle(request, response).catch(() => response.destroy());
  });
  server.listen(port, host);
  await once(server, 'listening');
  return () => {
    server.close();
    server.closeAllConnections();
  };
}

/** The origin of the weights; its link is shared by all that it sends. */
export async function startOrigin({ host, port, megabits }) {
  let freeAt = 0;
  return listen(
    async (request, response) => {
      const url = new URL(request.url, 'http://origin');
      const version = Number(url.searchParams.get('version'));
      if (url.pathname.includes('/manifest/')) {
        const digests = Array.from({ length: CHUNKS }, (_, index) => digest(piece(version, index)));
        sendJson(response, 200, {
          model: MODEL,
          version,
          chunk_bytes: CHUNK_BYTES,
          layers: LAYERS,
          digests,
        });
        return;
      }
      const bytes = piece(version, Number(url.searchParams.get('chunk_count')));
      freeAt = Math.max(freeAt, performance.now()) + (bytes.length * 8) / (megabits * 1000);
      await pause(Math.max(0, freeAt - performance.now()));
      response.writeHead(200);
      response.end(bytes);
    },
    host,
    port,
  );
}

/** A model runner with its staging. */
export async function startEngine({ id, service, host, controls, record, times, hooks }) {
  const born = Date.now();
  const staged = new Map();
  const badSince = new Map();
  const state = { runs: [], loads: [], isStopped: false };
  let held = { version: 1, spoilt: [] };
  let orders = 0;
  let isBusy = false;
  for (let index = 0; index < CHUNKS; index += 1) staged.set(index, piece(1, index));
  const readBody = async (request) => {
    const parts = [];
    for await (const part of request) parts.push(part);
    return Buffer.concat(parts);
  };
  const models = () => ({
    stage: 'both',
    models: [{ name: MODEL, version: held.version, adapters: [] }],
    layers: { from: 0, to: LAYERS, version: held.version },
  });
  const rot = (indexes) => {
    for (const index of indexes) {
      const bytes = Buffer.from(staged.get(index));
      bytes[0] ^= 1;
      staged.set(index, bytes);
      badSince.set(index, performance.now());
    }
    record.line(`${id}: pieces ${indexes.join(', ')} turn bad`);
  };
  const order = async (request, response) => {
    const { version, precondition } = JSON.parse((await readBody(request)).toString());
    if (isBusy || (precondition !== undefined && precondition !== orders))
      return sendJson(response, 409, {});
    if (version === held.version) return sendJson(response, 200, {});
    orders += 1;
    isBusy = true;
    const now = performance.now();
    const spoilt = [];
    for (let index = 0; index < CHUNKS; index += 1) {
      if (staged.get(index)?.equals(piece(version, index)) === true) continue;
      const bad = badSince.has(index) ? now - badSince.get(index) : Number.POSITIVE_INFINITY;
      if (bad > EXCUSED_MILLISECONDS) spoilt.push(`${index} (${Math.round(bad)} ms)`);
    }
    state.loads.push({ version, spoilt });
    record.line(
      `${id}: takes version ${version}; bad for more than 3 s: ${spoilt.join(', ') || 'none'}`,
    );
    sendJson(response, 202, {});
    hooks.taken?.({ version, spoilt });
    await pause(times.load());
    held = { version, spoilt };
    isBusy = false;
    return undefined;
  };
  const stream = async (request, response) => {
    const attemptId = String(request.headers['attempt-id']);
    await readBody(request);
    const expected = request.headers['expect-version'];
    if (
      request.headers['expect-instance'] !== id ||
      (expected !== undefined && Number(expected) !== held.version)
    ) {
      response.writeHead(421, { 'attempt-id': attemptId });
      response.end();
      return;
    }
    if (isBusy) {
      response.writeHead(503, { 'attempt-id': attemptId, 'not-executed': '1' });
      response.end();
      return;
    }
    state.runs.push({
      attemptId,
      version: held.version,
      spoilt: held.spoilt,
      at: record.seconds(),
    });
    response.writeHead(200, {
      'attempt-id': attemptId,
      'server-seal': `seal.${attemptId}`,
      'content-type': 'text/event-stream',
      'weight-versions': String(held.version),
    });
    for (let event = 1; event <= 5; event += 1) {
      response.write(`id: ${event}\ndata: piece ${event}\n\n`);
      await pause(40);
    }
    response.end();
  };
  const close = await listen(
    async (request, response) => {
      const url = new URL(request.url, 'http://runner');
      const index = Number(url.searchParams.get('chunk_count'));
      if (url.pathname === '/burdockrail/report')
        sendJson(response, 200, {
          ...models(),
          busy: isBusy,
          seq_no: orders,
          waiting: 0,
          running: 0,
          kv_used: 0,
          kv_total: 1_180_000,
          handles: 0,
          born,
        });
      else if (url.pathname === '/burdockrail/order') await order(request, response);
      else if (url.pathname.includes('/stage-put/')) {
        const bytes = await readBody(request);
        staged.set(index, bytes);
        badSince.delete(index);
        hooks.written?.(index);
        sendJson(response, 200, {});
      } else if (url.pathname.includes('/stage-get/')) {
        if (!url.searchParams.has('chunk_count'))
          return sendJson(response, 200, { held: [...staged.keys()] });
        hooks.read?.(index);
        const bytes = staged.get(index);
        await pause(times.read());
        response.writeHead(bytes === undefined ? 404 : 200);
        response.end(bytes);
      } else await stream(request, response);
      return undefined;
    },
    host,
    8080,
  );
  const beat = async () => {
    for (let sequence = 1; !state.isStopped; sequence += 1) {
      const addresses = controls();
      const body = JSON.stringify({
        service,
        address: `${host}:8080`,
        zone: 'maz-a',
        version: 'v1',
        slots: 16,
        state: 'ready',
        cold_remaining_ms: 0,
        ...models(),
        seq_no: sequence,
        born,
      });
      await call({
        address: addresses[sequence % addresses.length],
        method: 'PUT',
        path: `/burdockrail/instances/${id}`,
        headers: { 'content-type': 'application/json', connection: 'close' },
        body,
        timeoutMilliseconds: 1000,
      });
      await pause(HEARTBEAT_MILLISECONDS);
    }
  };
  void beat();
  return {
    state,
    rot,
    stop: () => {
      state.isStopped = true;
      close();
    },
  };
}
