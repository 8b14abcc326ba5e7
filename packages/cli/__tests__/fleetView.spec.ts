import assert from 'node:assert/strict';
import { once } from 'node:events';
import { appendFile, mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { describe, it } from 'node:test';
import type { Announcement } from '@burdockrail/protocol/protocolMembership.js';
import { assertGolden, runCommand, runSession, startCommand } from './commandSession.js';
import { createFakeFleet, type FakeFleet } from './fakeFleet.js';

const program = 'packages/cli/__tests__/programs/harbour.mjs';
const digest = 'ab'.repeat(32);

function createAnnouncement(
  agent: string,
  dataCentre: string,
  overrides: object = {},
): Announcement {
  return {
    agent,
    incarnation: 'i1',
    sequence: 1,
    dataCentre,
    region: 'coast',
    address: { host: '127.0.0.1', port: 1 },
    service: 'assistant',
    state: 'present',
    ready: false,
    prefixes: [],
    ...overrides,
  };
}

const serving = { model: 'assistant', version: '1', digest, adapters: [] };
const live = { ready: true, serving, sequence: 2 };
const loading = { rollout: { digest, heldChunks: 3, chunks: 4 } };

async function startConfiguredFleet(): Promise<FakeFleet> {
  const fleet = await createFakeFleet();
  const flags = ['-y', '--profile', fleet.profile];
  const result = await runCommand(['config', 'apply', program, ...flags]);
  assert.equal(result.exitCode, 0, result.standardError);
  return fleet;
}

describe('status', () => {
  it('shows revisions, groups, upstreams and cut-off data centres', async () => {
    await using fleet = await startConfiguredFleet();
    fleet.state.announcements = {
      one: [
        createAnnouncement('agent-1', 'north', live),
        createAnnouncement('agent-2', 'north', loading),
      ],
      two: [
        createAnnouncement('agent-1', 'north'),
        createAnnouncement('agent-3', 'south', { state: 'leaving' }),
      ],
    };
    const environment = { BURDOCKRAIL_PROFILE: fleet.profile };
    assertGolden('status', await runSession([['status'], ['status', '--json']], environment));
  });
});

describe('rollout watch', () => {
  it('shows a bar for each data centre and ends once all upstreams are live', async () => {
    await using fleet = await startConfiguredFleet();
    const north = [
      createAnnouncement('agent-1', 'north', live),
      createAnnouncement('agent-2', 'north', live),
    ];
    fleet.state.announcements = { one: [...north, createAnnouncement('agent-3', 'south', live)] };
    const watch = ['rollout', 'watch', '--profile', fleet.profile];
    const complete = await runCommand(watch);
    assert.match(complete.standardOutput, /north \[#{24}\] 100% 2 of 2 live\n/u);
    assert.match(complete.standardOutput, /all live after \d+\.\d s\n$/u);
    fleet.state.announcements = {
      one: [...north, createAnnouncement('agent-3', 'south', loading)],
    };
    const incomplete = await runCommand([...watch, '--timeout', '1']);
    assert.match(incomplete.standardOutput, /south \[#{18}-{6}\] {2}75% 0 of 1 live\n/u);
    assert.equal(
      incomplete.standardError,
      '505 WeightsIncomplete: not live before the timeout: assistant in south 0 of 1\n',
    );
    assert.equal(incomplete.exitCode, 1);
    const json = await runCommand([...watch, '--timeout', '1', '--json']);
    const reading = JSON.parse(json.standardOutput.split('\n')[0] ?? '') as { done: boolean };
    assert.equal(reading.done, false);
  });
});

const metrics = [
  '# TYPE burdockrail_request_seconds summary',
  'burdockrail_request_seconds{team="guests",class="assistant",quantile="0.5"} 0.12',
  'burdockrail_request_seconds{team="guests",class="assistant",quantile="0.95"} 0.8',
  'burdockrail_request_seconds_count{team="guests",class="assistant"} 40',
  'burdockrail_requests_total{team="guests",service="assistant",code="0",result="Ok"} 39',
  'burdockrail_requests_total{team="guests",service="assistant",code="109",result="UpstreamFailed"} 1',
].join('\n');

describe('report and outcome', () => {
  it('print the answers of the entries', async () => {
    const server = createServer((request, response) => {
      const isMetrics = request.url === '/metrics';
      const unknown = request.url?.startsWith('/v1/outcomes/deposit%208') === true;
      const asked = `${request.url ?? ''} ${String(request.headers['burdockrail-team'])}`;
      const answer = { status: 201, headers: {}, body: `asked ${asked}` };
      const key = { team: 'desk', service: 'till', key: 'deposit 7' };
      const error = { code: 201, message: 'The outcome is unknown.' };
      response.statusCode = unknown ? 409 : 200;
      response.setHeader('burdockrail-result', unknown ? '201' : '0');
      response.setHeader('burdockrail-run', unknown ? 'unknown' : 'ran');
      const document = unknown ? { error } : { ...key, run: 'ran', answer };
      response.end(isMetrics ? metrics : JSON.stringify(document));
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    const http = ['--http', `127.0.0.1:${port}`];
    const outcome = ['--service', 'till', '--team', 'desk', ...http];
    const transcript = await runSession([
      ['report', ...http],
      ['report', ...http, '--json'],
      ['outcome', 'deposit 7', ...outcome],
      ['outcome', 'deposit 7', ...outcome, '--json'],
      ['outcome', 'deposit 8', ...outcome],
      ['outcome', 'deposit 7', ...http],
    ]);
    server.close();
    assertGolden('report', transcript.replaceAll(`127.0.0.1:${port}`, 'ENTRY'));
  });
});

describe('events', () => {
  it('pretty-prints a log and filters it', async () => {
    const log = 'packages/cli/__tests__/programs/events.log';
    const transcript = await runSession([
      ['events', log],
      ['events', log, '--level', 'warn'],
      ['events', log, '--process', 'entry-1', '--event', '3000'],
      ['events', log, '--event', '3000', '--json'],
      ['events', 'missing.log'],
    ]);
    assertGolden('events', transcript);
  });

  it('follows a growing log and joins lines that were written in parts', async () => {
    const folder = await mkdtemp(join(tmpdir(), 'burdockrail-'));
    const path = join(folder, 'log');
    await writeFile(path, 'first\nsec');
    const child = startCommand(['events', path, '--follow']);
    try {
      const lines = createInterface({ input: child.stdout })[Symbol.asyncIterator]();
      assert.equal((await lines.next()).value, 'first');
      await appendFile(path, 'ond\n');
      assert.equal((await lines.next()).value, 'second');
    } finally {
      child.kill('SIGKILL');
      await rm(folder, { recursive: true });
    }
  });
});
