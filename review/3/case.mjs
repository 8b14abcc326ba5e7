// A side machine freezes while its agent has just read back the staged weights; meanwhile a staged
// piece turns bad. The agent must not order the load of what was bad for more than three seconds.
import { Buffer } from 'node:buffer';
import { createHash } from 'node:crypto';
import { createServer } from 'node:http';
import { dirname } from 'node:path';
import { performance } from 'node:perf_hooks';
import { setTimeout as pause } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { buildConfig, KEY, MODEL } from '../lib/config.mjs';
import { findNetwork, startDeployment } from '../lib/deployment.mjs';
import { call, createId, order, putConfig } from '../lib/http.mjs';
import { readBody, SEAL, startRunner } from '../lib/runner.mjs';
import { runCase } from '../lib/record.mjs';

const RUNNERS = 9;
const PIECES = 96;
const PIECE_BYTES = 24576;
const LAYERS = 16;
/** Duration of the freeze, and the time from its start at which a piece turns bad. */
const FREEZE_MILLISECONDS = 4000;
const ROT_AFTER_MILLISECONDS = 400;
/** A piece that turned bad so shortly before is excused. */
const EXCUSED_MILLISECONDS = 3000;
const LOAD_MILLISECONDS = 500;
/** Pieces that turn bad: 0.06 of them. */
const ROTTEN_PIECES = 5;
/** Pieces that the agent has read back, one after the other, when its machine freezes. */
const FREEZE_AT_PIECES = 70;
/** Time without a piece being read back after which the agent begins anew. */
const PASS_GAP_MILLISECONDS = 200;

const content = (version, piece) => Buffer.alloc(PIECE_BYTES, `${version}/${piece};`);

async function startOrigin(address, record) {
  const [host, port] = address.split(':');
  const server = createServer((request, response) => {
    const url = new URL(request.url, 'http://origin');
    const version = Number(url.searchParams.get('version') ?? 1);
    if (url.pathname.includes('/manifest/')) {
      const digests = Array.from({ length: PIECES }, (_value, piece) =>
        createHash('sha256').update(content(version, piece)).digest('hex'),
      );
      response.writeHead(200, { 'content-type': 'application/json' });
      response.end(
        JSON.stringify({
          model: MODEL,
          version,
          chunk_bytes: PIECE_BYTES,
          layers: LAYERS,
          digests,
        }),
      );
      return;
    }
    const piece = Number(url.searchParams.get('chunk_count'));
    record.add(`origin sends piece ${piece} of version ${version}`);
    response.end(content(version, piece));
  });
  await new Promise((resolve) => server.listen(Number(port), host, resolve));
  return server;
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (record, isTroubled, disposals) => {
  const net = await findNetwork();
  const addresses = Array.from(
    { length: RUNNERS },
    (_value, index) => `${net}.${201 + index}:9001`,
  );
  const deployment = await startDeployment({ net, engines: addresses, engineService: 'engines' });
  disposals.push(() => deployment.end());
  const { controls, fronts } = deployment;
  const origin = `${net}.41:9002`;
  const originServer = await startOrigin(origin, record);
  disposals.push(() => originServer.closeAllConnections());
  const breaks = [];
  const stages = new Map(
    addresses.map((address) => [
      address,
      { pieces: new Map(), readBack: new Set(), badSince: new Map(), badLoad: null, readAt: 0 },
    ]),
  );
  let frozen = null;

  const freeze = async (runner, stage) => {
    const index = addresses.indexOf(runner.address) + 1;
    frozen = runner.id;
    record.add(`side-${index} freezes`);
    deployment.signal(`side-${index}`, 'SIGSTOP');
    await pause(ROT_AFTER_MILLISECONDS);
    for (let count = 0; count < ROTTEN_PIECES; count += 1) {
      const piece = Math.floor(Math.random() * PIECES);
      if (stage.badSince.has(piece)) continue;
      const bytes = Buffer.from(stage.pieces.get(piece));
      bytes[100] ^= 1;
      stage.pieces.set(piece, bytes);
      stage.badSince.set(piece, performance.now());
      record.add(`piece ${piece} at ${runner.id} turns bad`);
    }
    await pause(FREEZE_MILLISECONDS - ROT_AFTER_MILLISECONDS);
    deployment.signal(`side-${index}`, 'SIGCONT');
    record.add(`side-${index} wakes`);
  };
  const onAdmin = async (request, response, runner) => {
    const stage = stages.get(runner.address);
    const url = new URL(request.url, 'http://runner');
    const piece = Number(url.searchParams.get('chunk_count'));
    const body = await readBody(request);
    if (url.pathname.includes('/stage-put/')) {
      stage.pieces.set(piece, body);
      stage.badSince.delete(piece);
      response.writeHead(200, { 'content-length': '2' });
      response.end('{}');
      return;
    }
    if (url.pathname.includes('/stage-get/')) {
      const bytes = stage.pieces.get(piece);
      response.writeHead(bytes === undefined ? 404 : 200);
      response.end(bytes);
      if (performance.now() - stage.readAt > PASS_GAP_MILLISECONDS) stage.readBack.clear();
      stage.readAt = performance.now();
      if (bytes !== undefined) stage.readBack.add(piece);
      if (
        isTroubled &&
        frozen === null &&
        stage.readBack.size === FREEZE_AT_PIECES &&
        stage.pieces.size === PIECES
      )
        void freeze(runner, stage);
      return;
    }
    const fields = JSON.parse(body.toString());
    const isFitting =
      fields.operation === 'start' &&
      !runner.busy &&
      (fields.precondition ?? runner.orders) === runner.orders;
    response.writeHead(isFitting ? 202 : 409, { 'content-length': '2' });
    response.end('{}');
    record.add(`order ${JSON.stringify(fields)} at ${runner.id}: ${isFitting ? 202 : 409}`);
    if (!isFitting) return;
    runner.orders += 1;
    runner.busy = true;
    const now = performance.now();
    for (let index = 0; index < PIECES; index += 1) {
      if (stage.pieces.get(index)?.equals(content(fields.version, index)) === true) continue;
      const badFor = now - (stage.badSince.get(index) ?? Number.NEGATIVE_INFINITY);
      record.add(
        `${runner.id} takes version ${fields.version} with piece ${index} bad for ${Math.round(badFor)} ms`,
      );
      if (badFor > EXCUSED_MILLISECONDS)
        stage.badLoad = { version: fields.version, piece: index, badFor };
    }
    stage.readBack.clear();
    await pause(LOAD_MILLISECONDS);
    runner.version = fields.version;
    runner.busy = false;
  };
  const answer = async (request, response, { requestId, runner }) => {
    await readBody(request);
    const stage = stages.get(runner.address);
    record.add(`run ${requestId} ${runner.id} version ${runner.version}`);
    if (stage.badLoad !== null)
      breaks.push(
        `${requestId} made tokens at ${runner.id} with version ${runner.version}, whose piece ${stage.badLoad.piece} had been bad for ${Math.round(stage.badLoad.badFor)} ms when it was taken`,
      );
    await pause(100);
    response.writeHead(200, {
      'attempt-id': requestId,
      'server-seal': SEAL,
      'content-type': 'text/event-stream',
      'weight-versions': String(runner.version),
    });
    for (let event = Number(request.headers['last-event-id'] ?? 0) + 1; event <= 5; event += 1)
      response.write(`id: ${event}\ndata: piece ${event}\n\n`);
    response.end();
  };
  const runners = [];
  for (const [index, address] of addresses.entries()) {
    const runner = await startRunner({
      id: `i-runner-${index + 1}`,
      service: 'engines',
      address,
      controls,
      answer,
      isEngine: true,
      onAdmin,
    });
    disposals.push(() => runner.close());
    runners.push(runner);
  }
  await putConfig(controls, buildConfig({ origin }));
  const send = async (index) => {
    const id = createId();
    record.add(`sent ${id}`);
    const answered = await call(fronts[0], {
      method: 'POST',
      path: `/stream/${index}`,
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
    record.add(`answered ${id} ${answered.status}`);
    return answered;
  };
  const deadline = performance.now() + 30_000;
  while ((await send(0)).status !== 200) {
    if (performance.now() > deadline) throw new Error('the deployment does not serve');
    await pause(200);
  }
  await pause(3000);
  await order(controls, {
    method: 'POST',
    path: '/burdockrail/version-put',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({ model: MODEL, version: 2 }),
  });
  record.add('version 2 is named');
  const startedAt = performance.now();
  const pending = [];
  for (let index = 0; performance.now() - startedAt < 20_000; index += 1) {
    pending.push(send(index));
    await pause(50);
  }
  const answers = await Promise.all(pending);
  record.add(
    `summary: ${answers.length} requests, ${answers.filter(({ status }) => status === 200).length} served; versions ${runners.map(({ version }) => version).join()}`,
  );
  if (runners.some(({ version }) => version !== 2) && !isTroubled)
    throw new Error('version 2 did not arrive everywhere');
  return breaks;
});
