import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type RequestListener } from 'node:http';
import type { AddressInfo } from 'node:net';
import { describe, it } from 'node:test';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { createDisposalStack, type DisposalStack } from '@burdockrail/common/disposalStack.js';
import { monotonicClock } from '@burdockrail/common/timeSource.js';
import type { AttemptItem, AttemptStart } from '@burdockrail/protocol/protocolAttempt.js';
import { createAttemptGate } from '../src/attemptGate.js';
import { createAttemptService, type AttemptService } from '../src/attemptService.js';
import { createAttemptUpstream } from '../src/attemptUpstream.js';

const HOST = '127.0.0.1';
const DIGEST = 'd'.repeat(64);
const silentLog = { write: () => undefined };
const peer = { name: 'entry', incarnation: 'e', dataCentre: 'x', roles: [] };

interface Fixture {
  readonly service: AttemptService;
  /** Ends the upstream as the death of its process does. */
  readonly kill: () => void;
  readonly run: (
    change?: Partial<AttemptStart>,
    signal?: AbortSignal,
  ) => Promise<readonly AttemptItem[]>;
}

async function createFixture(owned: DisposalStack, listener: RequestListener): Promise<Fixture> {
  const server = createServer(listener);
  server.listen(0, HOST);
  await once(server, 'listening');
  const kill = (): void => {
    server.close();
    server.closeAllConnections();
  };
  owned.defer(kill);
  const { port } = server.address() as AddressInfo;
  const upstream = owned.use(createAttemptUpstream(`http://${HOST}:${port}`, HOST));
  const service = createAttemptService({
    upstream,
    allowsDigest: (digest) => digest === DIGEST,
    gate: createAttemptGate(),
    incarnation: 'one',
    service: 'model',
    time: monotonicClock,
    log: silentLog,
    servedDigest: () => DIGEST,
    isReady: () => true,
  });
  const start: AttemptStart = {
    attemptId: 'attempt',
    service: 'model',
    team: 'guests',
    priority: 1,
    method: 'POST',
    path: '/v1/completions',
    headers: { 'content-type': 'application/json' },
    body: Buffer.from('{}'),
    timeoutMilliseconds: 2_000,
  };
  return {
    service,
    kill,
    run: async (change = {}, signal = new AbortController().signal) => {
      const items: AttemptItem[] = [];
      const sink = {
        write: async (item: AttemptItem) => {
          items.push(item);
          return Promise.resolve();
        },
      };
      const handler = service.handlers.streams?.['attempt.run'];
      await handler?.({ ...start, ...change }, sink, { peer, signal });
      return items;
    },
  };
}

function bodyOf(items: readonly AttemptItem[]): string {
  const parts = items.flatMap((item) => (item.kind === 'data' ? [item.bytes] : []));
  return Buffer.concat(parts).toString();
}

function eventOf(id: number, data: string): string {
  return `id: ${id}\ndata: ${data}\n\n`;
}

const streamHeaders = {
  'content-type': 'text/event-stream',
  'x-request-id': 'attempt',
  'x-weights-digest': DIGEST,
};

describe('attempts at an upstream', () => {
  it('relays a whole answer and names the weights that gave it', async () => {
    await using owned = createDisposalStack();
    const { run } = await createFixture(owned, (request, response) => {
      assert.equal(request.headers['x-priority'], '1');
      response.writeHead(200, { 'x-request-id': 'attempt', 'x-weights-digest': DIGEST });
      response.end('whole');
    });
    const items = await run();
    assert.deepEqual(
      items.map((item) => item.kind),
      ['head', 'data', 'end'],
    );
    assert.equal(items[0]?.kind === 'head' && items[0].versionDigest, DIGEST);
  });

  it('refuses an answer that belongs to another request or other weights', async () => {
    await using owned = createDisposalStack();
    const headers = { 'x-request-id': 'someone else', 'x-weights-digest': DIGEST };
    const { run } = await createFixture(owned, (_request, response) => {
      response.writeHead(200, headers).end('crossed');
    });
    const [crossed] = await run();
    assert.equal(crossed?.kind === 'failed' && crossed.code, ResultCode.AnswerMismatched);
    headers['x-request-id'] = 'attempt';
    headers['x-weights-digest'] = 'e'.repeat(64);
    const [mixed] = await run();
    assert.equal(mixed?.kind === 'failed' && mixed.code, ResultCode.VersionUnavailable);
  });

  it('resumes a cut stream and drops events that were sent twice', async () => {
    await using owned = createDisposalStack();
    const { run } = await createFixture(owned, (request, response) => {
      response.writeHead(200, streamHeaders);
      if (request.method === 'POST') {
        response.write(eventOf(0, 'a') + eventOf(1, 'b') + 'id: 2\nda', () => {
          response.destroy();
        });
        return;
      }
      assert.equal(request.url, '/v1/streams/attempt');
      assert.equal(request.headers['last-event-id'], '1');
      response.end(eventOf(1, 'b') + eventOf(2, 'c') + eventOf(3, '[DONE]'));
    });
    const items = await run();
    assert.equal(items.at(-1)?.kind, 'end');
    const expected = eventOf(0, 'a') + eventOf(1, 'b') + eventOf(2, 'c') + eventOf(3, '[DONE]');
    assert.equal(bodyOf(items), expected);
  });

  it('never ends a stream as whole that goes on under other weights', async () => {
    await using owned = createDisposalStack();
    const { run } = await createFixture(owned, (request, response) => {
      const isFirst = request.method === 'POST';
      const digest = isFirst ? DIGEST : 'e'.repeat(64);
      response.writeHead(200, { ...streamHeaders, 'x-weights-digest': digest });
      response.end(isFirst ? eventOf(0, 'a') : eventOf(1, '[DONE]'));
    });
    const last = (await run()).at(-1);
    assert.equal(last?.kind === 'failed' && last.code, ResultCode.AnswerIncomplete);
  });

  it('reports a cut body as incomplete, also on a connection that is not kept alive', async () => {
    await using owned = createDisposalStack();
    const { run } = await createFixture(owned, (_request, response) => {
      response.writeHead(200, { 'x-request-id': 'attempt', connection: 'close' });
      response.write('half', () => {
        response.socket?.end();
      });
    });
    const last = (await run()).at(-1);
    assert.equal(last?.kind === 'failed' && last.code, ResultCode.AnswerIncomplete);
  });

  it('passes no head on of a small answer that is cut, so that another attempt can replace it', async () => {
    await using owned = createDisposalStack();
    const { run } = await createFixture(owned, (_request, response) => {
      response.writeHead(200, { 'x-request-id': 'attempt', 'content-length': '8' });
      response.write('half', () => {
        response.destroy();
      });
    });
    const items = await run();
    assert.deepEqual(
      items.map(({ kind }) => kind),
      ['failed'],
    );
  });

  it('says not run when the upstream cannot be reached, and crashed when it dies on it', async () => {
    await using owned = createDisposalStack();
    let kill: () => void = () => undefined;
    const fixture = await createFixture(owned, () => {
      kill();
    });
    kill = fixture.kill;
    const [crashed] = await fixture.run();
    assert.ok(crashed?.kind === 'failed');
    assert.equal(crashed.upstreamCrashed, true);
    assert.equal(crashed.run, 'unknown');
    const [refused] = await fixture.run();
    assert.ok(refused?.kind === 'failed');
    assert.equal(refused.run, 'not-run');
    assert.equal(refused.upstreamCrashed, false);
  });

  it('cancels a repeatable attempt with its caller and goes on with a claimed one', async () => {
    await using owned = createDisposalStack();
    const cancelled: string[] = [];
    const answers: (() => void)[] = [];
    let arrived: () => void = () => undefined;
    const { run, service } = await createFixture(owned, (request, response) => {
      if (request.method === 'DELETE') {
        cancelled.push(request.url ?? '');
        response.end();
        return;
      }
      answers.push(() => {
        response.writeHead(200, { 'x-request-id': request.headers['x-request-id'] });
        response.end('late');
      });
      arrived();
    });
    const isHere = async (): Promise<void> =>
      new Promise((resolve) => {
        arrived = resolve;
      });
    const caller = new AbortController();
    const first = isHere();
    const repeatable = run({}, caller.signal);
    await first;
    caller.abort();
    assert.deepEqual(await repeatable, []);
    assert.deepEqual(cancelled, ['/v1/streams/attempt']);
    const second = isHere();
    const gone = new AbortController();
    const claimed = run({ attemptId: 'claimed', agentIncarnation: 'one' }, gone.signal);
    await second;
    gone.abort();
    answers[1]?.();
    await claimed;
    const fence = { attemptId: 'claimed', agentIncarnation: 'one' };
    const context = { peer, signal: gone.signal };
    const reply = await service.handlers.calls?.['attempt.fence']?.(fence, context);
    assert.equal(reply?.kind, 'finished');
  });

  it('refuses new attempts while it drains and ends those in progress', async () => {
    await using owned = createDisposalStack();
    let finish: () => void = () => undefined;
    let arrived: () => void = () => undefined;
    const { run, service } = await createFixture(owned, (_request, response) => {
      finish = () => {
        response.writeHead(200, { 'x-request-id': 'attempt' }).end('done');
      };
      arrived();
    });
    const isHere = new Promise<void>((resolve) => {
      arrived = resolve;
    });
    const inProgress = run();
    await isHere;
    const drained = service.drain();
    const [refused] = await run({ attemptId: 'new' });
    assert.ok(refused?.kind === 'failed');
    assert.equal(refused.code, ResultCode.AttemptNeverStarted);
    assert.equal(refused.run, 'not-run');
    finish();
    assert.equal((await inProgress).at(-1)?.kind, 'end');
    await drained;
  });
});
