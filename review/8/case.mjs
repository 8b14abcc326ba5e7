import { randomBytes } from 'node:crypto';
import { setTimeout } from 'node:timers';
import { setTimeout as pause } from 'node:timers/promises';
import { createConfiguration, HOST, KEY } from '../lib-2/configuration.mjs';
import { CONTROL_PORT, FRONT_PORT, runCase } from '../lib-2/deployment.mjs';
import { call } from '../lib-2/http.mjs';
import { createOperator } from '../lib-2/operator.mjs';
import { CHUNKS, CHUNK_BYTES, LAYERS, MODEL, startEngine, startOrigin } from '../lib-2/engine.mjs';

const MODEL_SERVICE = 'huvo11a';
const ORIGIN_SERVICE = 'kafi81c';

/** Time in which the runner reads one staged piece and loads a version, without trouble. */
const READ_MILLISECONDS = 30;
const LOAD_MILLISECONDS = 300;

/** Strongest `srv_slow` that the site file names. */
const SLOWNESS = 5;
const SLOW_MILLISECONDS = 6500;

/** Runners of the model, one of which is disturbed: a share of 0.143. */
const RUNNERS = 7;

/** Pieces that turn bad once, after the agent has read them back: 5 of 96. */
const ROT_AFTER_READS = 78;
const ROT_PIECES = 5;

/** Time from the moment at which the runner takes the pieces to the kill of the agent. */
const KILL_AFTER_MILLISECONDS = 120;
const RESTART_MILLISECONDS = 500;

await runCase(new URL('record.txt', import.meta.url), async (setup) => {
  const { record, deployment, trouble, host, untilTrafficStarts } = setup;
  const seeds = [host(11), host(12), host(13)];
  const addresses = () => seeds.map((seed) => `${seed}:${CONTROL_PORT}`);
  const start = (name, role, at, more = {}) =>
    deployment.start({ name, role, host: at, seeds, bootstrap: true, ...more });
  for (const [index, seed] of seeds.entries()) start(`core-${index + 1}`, 'control', seed);
  const fronts = [21, 22].map(host);
  for (const [index, front] of fronts.entries()) start(`front-${index + 1}`, 'entry', front);
  const closeOrigin = await startOrigin({ host: host(41), port: 8006, megabits: 7.3 });
  let slowUntil = 0;
  const isSlow = () => Date.now() < slowUntil;
  const reads = [];
  let isRotten = false;
  const hooks = {};
  const engines = [];
  const startAgent = (index, more = {}) =>
    start(`side-${index + 1}`, 'agent', host(31 + index), { service: MODEL_SERVICE, ...more });
  for (let index = 0; index < RUNNERS; index += 1) {
    const slowness = () => (index === 0 && isSlow() ? SLOWNESS : 1);
    engines.push(
      await startEngine({
        id: `i-${31 + index}`,
        service: MODEL_SERVICE,
        host: host(31 + index),
        controls: addresses,
        record,
        times: {
          read: () => READ_MILLISECONDS * slowness(),
          load: () => LOAD_MILLISECONDS * slowness(),
        },
        hooks: index === 0 ? hooks : {},
      }),
    );
    startAgent(index);
  }
  const [engine] = engines;
  const configuration = createConfiguration(1);
  configuration.routes.push({
    name: 'r-draft',
    host: HOST,
    path_prefix: '/draft/',
    route_type: 'streaming',
    timeout_ms: 6000,
    target_latency_ms: 402,
    priority: 1,
    service: MODEL_SERVICE,
    attempts: 2,
    auth_exempt: false,
    session_affinity: true,
    stream_resume: true,
    gap_aim_ms: 400,
  });
  configuration.services.push(
    {
      name: MODEL_SERVICE,
      health_path: '/health',
      max_connections: 609,
      protocol: 'h1',
      tls: false,
      engine: {
        slots: 16,
        kv_capacity: 1180000,
        kv_token_bytes: 163840,
        link_mbps: 400000,
        stride: 5,
        models: [{ name: MODEL, pace: 1, load_s: 4, warm_s: 0.3 }],
        mb: 266000,
        adapter_slots: 8,
        loads_per_s: 0,
        step_ms: 8.87,
        per_seq_ms: 0.0388,
        context_per_k: 0.0227,
        read_per_s: 19100,
        pairs_per_m: 1.47,
        chunk: 2048,
        report_lag_ms: 200,
        loads_at_once: 8,
        delays: [],
        usual: { prompt: 977, answer: 94 },
        layers: LAYERS,
        layer_mb: 4540,
        act_bytes: 16384,
        pipe_mbps: 0,
        chunks: CHUNKS,
        chunk_bytes: CHUNK_BYTES,
      },
    },
    {
      name: ORIGIN_SERVICE,
      origin: `${host(41)}:8006`,
      zone: 'maz-a',
      link_mbps: 7.3,
      max_connections: 103,
    },
  );
  const operator = createOperator(record, addresses);
  if (!(await operator.configure(configuration, 12_000)))
    throw new Error('the configuration was not acknowledged');
  await untilTrafficStarts();
  let isOver = false;
  const statuses = new Map();
  const sendAll = async () => {
    for (let number = 0; !isOver; number += 1) {
      const id = randomBytes(8).toString('hex');
      call({
        address: `${fronts[number % 2]}:${FRONT_PORT}`,
        method: 'POST',
        path: `/draft/${number}`,
        headers: {
          host: HOST,
          'attempt-id': id,
          authorization: `Token ${KEY}`,
          model: MODEL,
          'token-count': '600,70',
          'prompt-prefix': `5c1e07a2:40,${id}:560`,
          'deadline-ms': '6033',
          connection: 'close',
          'content-length': '0',
        },
        timeoutMilliseconds: 6100,
      }).then(({ status, error }) => {
        const key = `${Math.floor(record.seconds())} ${status ?? error}`;
        statuses.set(key, (statuses.get(key) ?? 0) + 1);
      });
      await pause(50);
    }
  };
  const requests = sendAll();
  await pause(1500);
  const written = new Set();
  hooks.written = (index) => written.add(index);
  hooks.read = (index) => {
    if (!trouble || isRotten || written.size < CHUNKS) return;
    if (reads.length === 0) {
      slowUntil = Date.now() + SLOW_MILLISECONDS;
      record.line('i-31 works 5 times as long from now on');
    }
    reads.push(index);
    if (reads.length < ROT_AFTER_READS) return;
    isRotten = true;
    setTimeout(() => engine.rot(reads.slice(-ROT_PIECES)), SLOWNESS * READ_MILLISECONDS + 20);
  };
  hooks.taken = ({ version }) => {
    if (!trouble || version !== 2) return;
    setTimeout(async () => {
      await deployment.signal('side-1', 'SIGKILL');
      await pause(RESTART_MILLISECONDS);
      startAgent(0, { bootstrap: false });
    }, KILL_AFTER_MILLISECONDS);
  };
  const named = await call({
    address: addresses()[0],
    method: 'POST',
    path: '/burdockrail/version-put',
    headers: { 'content-type': 'application/json', connection: 'close' },
    body: JSON.stringify({ model: MODEL, version: 2 }),
    timeoutMilliseconds: 1000,
  });
  record.line(`operator: version 2: ${named.status ?? named.error}`);
  await pause(20_000);
  isOver = true;
  await requests;
  await pause(1500);
  for (const [key, count] of statuses) record.line(`callers: second ${key}: ${count}`);
  for (const { stop } of engines) stop();
  closeOrigin();
  const runs = engines.flatMap(({ state }) => state.runs);
  const bad = runs.filter(({ spoilt }) => spoilt.length > 0);
  for (const { attemptId, version, at } of bad.slice(0, 20))
    record.line(`i-31: stream ${attemptId} on version ${version}, begun at ${at.toFixed(2)} s`);
  return {
    broken: bad.length > 0,
    detail: `${bad.length} of ${runs.length} streams were made with pieces bad for more than 3 s when taken`,
  };
});
