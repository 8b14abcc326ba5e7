import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { setTimeout as pause } from 'node:timers/promises';
import { send } from './http.mjs';
import { MODEL } from './operator.mjs';

const HEARTBEAT_MILLISECONDS = 1200;
const EVENTS = 8;
const EVENT_MILLISECONDS = 25;
const WORK_MILLISECONDS = 20;
const LAYERS = 16;

/** Tokens that an engine holds; a larger request is rejected as if the engine were full. */
export const ENGINE_TOKENS = 1_180_000;

/**
 * Sends the liveness reports of one lifetime of a runner, each to one control process after the
 * other until it is acknowledged.
 *
 * @param options.fields - fields of the next report that the runner decides.
 */
export function startReports({ id, service, address, controls, fields }) {
  let sequence = 0;
  let isStopped = false;
  let stop;
  const stopped = new Promise((resolve) => {
    stop = resolve;
  });
  let acknowledged = 0;

  const sendReport = async () => {
    sequence += 1;
    const body = JSON.stringify({
      service,
      address,
      zone: 'north-a',
      version: 'v1',
      slots: 16,
      cold_remaining_ms: 0,
      ...fields(),
      seq_no: sequence,
    });
    for (let attempt = 0; attempt < controls.length; attempt += 1) {
      const { status } = await send({
        address: controls[(sequence + attempt) % controls.length],
        method: 'PUT',
        path: `/burdockrail/instances/${id}`,
        headers: { 'content-type': 'application/json' },
        body,
      });
      if (status >= 200 && status < 300) {
        acknowledged += 1;
        return performance.now();
      }
    }
    return null;
  };

  const run = async () => {
    while (!isStopped) {
      await sendReport();
      await Promise.race([pause(HEARTBEAT_MILLISECONDS), stopped]);
    }
  };
  const running = run();
  return {
    get acknowledged() {
      return acknowledged;
    },
    /** Sends a report now; resolves with the time of its ack, or null without one. */
    send: sendReport,
    stop: async () => {
      isStopped = true;
      stop();
      await running;
    },
  };
}

/**
 * Starts one lifetime of a sound runner: it registers, answers requests, and answers the calls of
 * the agent on its machine. Engines hold version 1 of the weights.
 *
 * @param options.born - start that it tells of itself, in Unix milliseconds.
 */
export async function startRunner(options) {
  const { id, service, host, port, controls, isEngine = false, onArrival } = options;
  const born = options.born ?? Date.now();
  let state = 'ready';
  let running = 0;

  const loads = {
    stage: 'both',
    models: [{ name: MODEL, version: 1, adapters: [] }],
    layers: { from: 0, to: LAYERS, version: 1 },
  };

  const refuse = (response, requestId, status, headers = {}) => {
    response.writeHead(status, {
      ...(requestId === undefined ? {} : { 'Attempt-Id': requestId }),
      'Not-Executed': '1',
      'Instance-Id': id,
      ...headers,
    });
    response.end();
  };

  const answer = async (request, response) => {
    const requestId = request.headers['attempt-id'];
    const tokens = Number(String(request.headers['token-count']).split(',')[0]);
    const record = { requestId, runner: id, born, at: performance.now() };
    if (
      request.headers['expect-instance'] !== undefined &&
      request.headers['expect-instance'] !== id
    ) {
      onArrival?.({ ...record, status: 421 });
      refuse(response, requestId, 421);
      return;
    }
    if (requestId === undefined) {
      refuse(response, requestId, 400);
      return;
    }
    if (isEngine && tokens > ENGINE_TOKENS) {
      onArrival?.({ ...record, status: 503 });
      refuse(response, requestId, 503);
      return;
    }
    onArrival?.({ ...record, status: 200 });
    running += 1;
    const head = {
      'Attempt-Id': requestId,
      'Server-Seal': `${id}.${requestId}`,
      'Server-Load': `${running},0,16`,
      ...(isEngine ? { 'Content-Type': 'text/event-stream', 'Weight-Versions': '1' } : {}),
    };
    if (isEngine) {
      response.writeHead(200, head);
      const first = Number(request.headers['last-event-id'] ?? 0) + 1;
      for (let event = first; event <= EVENTS && !response.destroyed; event += 1) {
        await pause(EVENT_MILLISECONDS);
        response.write(`id: ${event}\ndata: piece ${event} of ${requestId}\n\n`);
      }
      response.end();
    } else {
      await pause(WORK_MILLISECONDS);
      response.writeHead(200, head);
      response.end(`whole answer to ${requestId}`);
    }
    running -= 1;
  };

  const calls = {
    'GET /burdockrail/report': (response) => {
      response.writeHead(200, { 'Content-Type': 'application/json' });
      response.end(
        JSON.stringify({
          ...loads,
          busy: false,
          seq_no: 0,
          waiting: 0,
          running,
          kv_used: 0,
          kv_total: ENGINE_TOKENS,
          handles: 0,
          born,
        }),
      );
    },
    'GET /health': (response) => {
      response.writeHead(state === 'ready' ? 200 : 503, { 'Instance-Id': id });
      response.end();
    },
  };

  const server = createServer((request, response) => {
    const [path] = (request.url ?? '').split('?');
    const call = calls[`${request.method} ${path}`];
    response.on('error', () => undefined);
    request.resume();
    request.once('end', () => {
      if (call !== undefined) call(response);
      else answer(request, response).catch(() => response.destroy());
    });
  });
  await new Promise((resolve) => {
    server.listen(port, host, resolve);
  });

  const reports = startReports({
    id,
    service,
    address: `${host}:${port}`,
    controls,
    fields: () => ({ state, ...(isEngine ? loads : {}), born }),
  });

  return {
    id,
    born,
    reports,
    /** Reports `draining`; resolves with the time of the ack, or null without one. */
    drain: async () => {
      state = 'draining';
      return reports.send();
    },
    /** Ends at once: no further report, all channels closed. */
    crash: async () => {
      const closed = new Promise((resolve) => {
        server.close(resolve);
      });
      server.closeAllConnections();
      await closed;
      await reports.stop();
    },
  };
}
