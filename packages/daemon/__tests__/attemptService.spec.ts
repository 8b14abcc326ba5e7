import assert from 'node:assert/strict';
import type { ServerResponse } from 'node:http';
import { describe, it } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { createDisposalStack } from '@burdockrail/common/disposalStack.js';
import {
  DIGEST,
  RESTART_MILLISECONDS,
  concatBody,
  createFixture,
  encodeEvent,
  peer,
  streamHeaders,
} from './attemptServiceFixture.js';

describe('an upstream that says in an answer that it leaves', () => {
  const leaving = { 'x-leaving': '1' };
  const leavingAnswers: Readonly<Record<string, (response: ServerResponse) => void>> = {
    'a whole answer': (response) => {
      response.writeHead(200, { 'x-request-id': 'attempt', 'content-length': '5', ...leaving });
      response.end('whole');
    },
    'a refusal without the id of the attempt': (response) => {
      response.writeHead(503, leaving);
      response.end();
    },
    'a stream': (response) => {
      response.writeHead(200, { ...streamHeaders, ...leaving });
      response.end(`${encodeEvent(0, 'a')}${encodeEvent(1, '[DONE]')}`);
    },
  };

  for (const [name, answer] of Object.entries(leavingAnswers)) {
    it(`gets no later attempt after ${name}; entries are told, and it has not run`, async () => {
      await using disposables = createDisposalStack();
      let requests = 0;
      const { run, announced } = await createFixture(disposables, (_request, response) => {
        requests += 1;
        answer(response);
      });
      await run();
      assert.deepEqual(announced, [true]);
      for (let index = 0; index < 3; index += 1) {
        const item = (await run()).at(-1);
        assert.equal(item?.kind === 'failed' && item.run, 'not-run');
      }
      assert.equal(requests, 1);
      assert.deepEqual(announced, [true]);
    });
  }

  it('completes the stream that it runs', async () => {
    await using disposables = createDisposalStack();
    const { run } = await createFixture(disposables, (_request, response) => {
      response.writeHead(200, { ...streamHeaders, ...leaving });
      response.write(encodeEvent(0, 'a'));
      setTimeout(() => response.end(encodeEvent(1, '[DONE]')), 50);
    });
    const running = run();
    await pause(20);
    assert.equal((await running).at(-1)?.kind, 'end');
  });

  it('gets no attempt that was waiting while its weights were switched', async () => {
    await using disposables = createDisposalStack();
    let requests = 0;
    const { run, gate } = await createFixture(disposables, (_request, response) => {
      requests += 1;
      response.writeHead(200, { 'x-request-id': 'attempt', 'content-length': '5', ...leaving });
      response.end('whole');
    });
    const running = run();
    await pause(0);
    const closed = gate.close();
    const waiting = run();
    await Promise.all([running, closed]);
    gate.open();
    const item = (await waiting).at(-1);
    assert.equal(item?.kind === 'failed' && item.run, 'not-run');
    assert.equal(requests, 1);
  });

  it('gets attempts again once another process has taken its place', async () => {
    await using disposables = createDisposalStack();
    let requests = 0;
    const { run, restart, announced } = await createFixture(disposables, (_request, response) => {
      requests += 1;
      const headers = requests === 1 ? leaving : {};
      response.writeHead(200, { 'x-request-id': 'attempt', 'content-length': '5', ...headers });
      response.end('whole');
    });
    await run();
    await run();
    assert.equal(requests, 1);
    await restart();
    assert.deepEqual(announced, [true, false]);
    assert.equal((await run()).at(-1)?.kind, 'end');
    assert.equal(requests, 2);
  });

  it('gets attempts again although an answer of the former process arrives later', async () => {
    await using disposables = createDisposalStack();
    let requests = 0;
    let answerLate: () => void = () => undefined;
    const head = { 'x-request-id': 'attempt', 'content-length': '5' };
    const { run, restart } = await createFixture(
      disposables,
      (_request, response) => {
        requests += 1;
        const headers = requests <= 2 ? { ...head, ...leaving } : head;
        const answer = (): void => {
          response.writeHead(200, headers);
          response.end('whole');
        };
        if (requests === 1) answerLate = answer;
        else answer();
      },
      { closesConnections: false },
    );
    const late = run();
    await pause(RESTART_MILLISECONDS);
    await run();
    await restart();
    answerLate();
    await late;
    assert.equal((await run()).at(-1)?.kind, 'end');
    assert.equal(requests, 3);
  });

  it('is not recognised by the answer to another attempt', async () => {
    await using disposables = createDisposalStack();
    const { run, announced } = await createFixture(disposables, (_request, response) => {
      response.writeHead(200, { 'x-request-id': 'other', 'content-length': '5', ...leaving });
      response.end('whole');
    });
    await run();
    assert.deepEqual(announced, []);
  });
});

describe('an upstream that names a limit', () => {
  it('gets no more attempts than it allows until it names none; the others have not run', async () => {
    await using disposables = createDisposalStack();
    let limit: string | null = '2';
    let requests = 0;
    const { run } = await createFixture(disposables, (_request, response) => {
      requests += 1;
      response.writeHead(200, {
        'x-request-id': 'attempt',
        'content-length': '5',
        ...(limit === null ? {} : { 'x-requests-per-second': limit }),
      });
      response.end('whole');
    });
    await run();
    const outcomes = [];
    for (let index = 0; index < 20; index += 1) outcomes.push((await run()).at(-1));
    assert.ok(requests <= 3, `${requests} requests`);
    const refused = outcomes.filter((item) => item?.kind === 'failed');
    assert.ok(refused.length >= 18);
    for (const item of refused) {
      assert.equal(item.code, ResultCode.Overloaded);
      assert.equal(item.run, 'not-run');
    }
    limit = null;
    await pause(600);
    await run();
    const before = requests;
    for (let index = 0; index < 5; index += 1) await run();
    assert.equal(requests, before + 5);
  });

  it('is not limited by a value that is no number', async () => {
    await using disposables = createDisposalStack();
    let requests = 0;
    const { run } = await createFixture(disposables, (_request, response) => {
      requests += 1;
      response.writeHead(200, { 'x-request-id': 'attempt', 'x-requests-per-second': '-1 or so' });
      response.end();
    });
    for (let index = 0; index < 5; index += 1) await run();
    assert.equal(requests, 5);
  });
});

describe('an upstream that rests', () => {
  it('gets no attempt until the rest is over; the others have not run and entries go elsewhere', async () => {
    await using disposables = createDisposalStack();
    let requests = 0;
    const { run, service } = await createFixture(disposables, (_request, response) => {
      requests += 1;
      response.writeHead(503, { 'x-request-id': 'attempt', 'retry-after': '0.4' }).end();
    });
    assert.equal(service.isResting, false);
    await run();
    assert.equal(service.isResting, true);
    for (let index = 0; index < 5; index += 1) {
      const last = (await run()).at(-1);
      assert.ok(last?.kind === 'failed');
      assert.equal(last.code, ResultCode.Overloaded);
      assert.equal(last.run, 'not-run');
    }
    assert.equal(requests, 1);
    await pause(450);
    assert.equal(service.isResting, false);
    await run();
    assert.equal(requests, 2);
  });

  it('gets attempts again after a restart', async () => {
    await using disposables = createDisposalStack();
    let requests = 0;
    const { run, noticeRestart } = await createFixture(disposables, (_request, response) => {
      requests += 1;
      response.writeHead(503, { 'x-request-id': 'attempt', 'retry-after': '30' }).end();
    });
    await run();
    await run();
    assert.equal(requests, 1);
    noticeRestart();
    await run();
    assert.equal(requests, 2);
  });

  it('is asked for nothing more of a stream that broke off meanwhile', async () => {
    await using disposables = createDisposalStack();
    let breakOff: () => void = () => undefined;
    let requests = 0;
    const { run } = await createFixture(disposables, (request, response) => {
      requests += 1;
      if (request.headers['x-request-id'] === 'refused') {
        response.writeHead(503, { 'x-request-id': 'refused', 'retry-after': '30' }).end();
        return;
      }
      response.writeHead(200, streamHeaders);
      response.write(encodeEvent(0, 'a'));
      breakOff = () => response.destroy();
    });
    const stream = run();
    await pause(100);
    await run({ attemptId: 'refused' });
    breakOff();
    const last = (await stream).at(-1);
    assert.equal(last?.kind === 'failed' && last.code, ResultCode.AnswerIncomplete);
    assert.equal(requests, 2);
  });

  for (const [what, status, headers] of [
    ['another status', 429, { 'retry-after': '30' }],
    ['a date', 503, { 'retry-after': 'Fri, 04 Dec 2026 20:36:06 GMT' }],
    ['a negative time', 503, { 'retry-after': '-30' }],
    ['the id of another attempt', 503, { 'retry-after': '30', 'x-request-id': 'other' }],
  ] as const) {
    it(`is not known from an answer with ${what}`, async () => {
      await using disposables = createDisposalStack();
      let requests = 0;
      const { run } = await createFixture(disposables, (_request, response) => {
        requests += 1;
        response.writeHead(status, { 'x-request-id': 'attempt', ...headers }).end();
      });
      await run();
      await run();
      assert.equal(requests, 2);
    });
  }
});

describe('an answer with neither a length nor chunks', () => {
  /** Sends a body that ends with its connection. */
  const sendUnframed = (
    response: ServerResponse,
    headers: Readonly<Record<string, string>>,
    body: string,
  ): void => {
    response.useChunkedEncodingByDefault = false;
    response.writeHead(200, { ...headers, connection: 'close' });
    response.end(body);
  };

  it('is a complete stream after its last event', async () => {
    await using disposables = createDisposalStack();
    const text = encodeEvent(0, 'a') + encodeEvent(1, '[DONE]');
    const { run } = await createFixture(disposables, (_request, response) => {
      sendUnframed(response, streamHeaders, text);
    });
    const items = await run();
    assert.equal(items.at(-1)?.kind, 'end');
    assert.equal(concatBody(items), text);
  });

  it('is resumed as a stream that ends inside an event', async () => {
    await using disposables = createDisposalStack();
    const { run } = await createFixture(disposables, (request, response) => {
      if (request.method === 'POST')
        sendUnframed(response, streamHeaders, `${encodeEvent(0, 'a')}id: 1\nda`);
      else sendUnframed(response, streamHeaders, encodeEvent(1, 'b') + encodeEvent(2, '[DONE]'));
    });
    const items = await run();
    assert.equal(items.at(-1)?.kind, 'end');
    assert.equal(
      concatBody(items),
      encodeEvent(0, 'a') + encodeEvent(1, 'b') + encodeEvent(2, '[DONE]'),
    );
  });

  it('is not passed on as complete when it is no stream, because it may be cut', async () => {
    await using disposables = createDisposalStack();
    const { run } = await createFixture(disposables, (_request, response) => {
      sendUnframed(response, { 'x-request-id': 'attempt' }, 'perhaps whole');
    });
    const last = (await run()).at(-1);
    assert.equal(last?.kind === 'failed' && last.code, ResultCode.AnswerIncomplete);
  });
});

describe('createAttemptService', () => {
  it('relays a complete answer with the digest of the weights that gave it', async () => {
    await using disposables = createDisposalStack();
    const { run } = await createFixture(disposables, (request, response) => {
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

  it('rejects an answer to another request or from other weights', async () => {
    await using disposables = createDisposalStack();
    const headers = { 'x-request-id': 'someone else', 'x-weights-digest': DIGEST };
    const { run } = await createFixture(disposables, (_request, response) => {
      response.writeHead(200, headers).end('crossed');
    });
    const [crossed] = await run();
    assert.equal(crossed?.kind === 'failed' && crossed.code, ResultCode.AnswerMismatched);
    headers['x-request-id'] = 'attempt';
    headers['x-weights-digest'] = 'e'.repeat(64);
    const [mixed] = await run();
    assert.equal(mixed?.kind === 'failed' && mixed.code, ResultCode.VersionUnavailable);
  });

  it('resumes an interrupted stream and drops duplicate events', async () => {
    await using disposables = createDisposalStack();
    const { run } = await createFixture(disposables, (request, response) => {
      response.writeHead(200, streamHeaders);
      if (request.method === 'POST') {
        response.write(encodeEvent(0, 'a') + encodeEvent(1, 'b') + 'id: 2\nda', () => {
          response.destroy();
        });
        return;
      }
      assert.equal(request.url, '/v1/streams/attempt');
      assert.equal(request.headers['last-event-id'], '1');
      response.end(encodeEvent(1, 'b') + encodeEvent(2, 'c') + encodeEvent(3, '[DONE]'));
    });
    const items = await run();
    assert.equal(items.at(-1)?.kind, 'end');
    const expected =
      encodeEvent(0, 'a') + encodeEvent(1, 'b') + encodeEvent(2, 'c') + encodeEvent(3, '[DONE]');
    assert.equal(concatBody(items), expected);
  });

  it('fails a stream that is resumed from other weights', async () => {
    await using disposables = createDisposalStack();
    const { run } = await createFixture(disposables, (request, response) => {
      const isFirst = request.method === 'POST';
      const digest = isFirst ? DIGEST : 'e'.repeat(64);
      response.writeHead(200, { ...streamHeaders, 'x-weights-digest': digest });
      response.end(isFirst ? encodeEvent(0, 'a') : encodeEvent(1, '[DONE]'));
    });
    const last = (await run()).at(-1);
    assert.equal(last?.kind === 'failed' && last.code, ResultCode.AnswerIncomplete);
  });

  it('reports a truncated body as incomplete, also on a connection that is not kept alive', async () => {
    await using disposables = createDisposalStack();
    const { run } = await createFixture(disposables, (_request, response) => {
      response.writeHead(200, { 'x-request-id': 'attempt', connection: 'close' });
      response.write('half', () => {
        response.socket?.end();
      });
    });
    const last = (await run()).at(-1);
    assert.equal(last?.kind === 'failed' && last.code, ResultCode.AnswerIncomplete);
  });

  it('forwards no head of a truncated small answer, so that another attempt can replace it', async () => {
    await using disposables = createDisposalStack();
    const { run } = await createFixture(disposables, (_request, response) => {
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

  it('reports not-run if the upstream is unreachable, and a crash if it dies during the attempt', async () => {
    await using disposables = createDisposalStack();
    let crash: () => void = () => undefined;
    const fixture = await createFixture(disposables, () => {
      crash();
    });
    crash = fixture.crash;
    const [crashed] = await fixture.run();
    assert.ok(crashed?.kind === 'failed');
    assert.equal(crashed.upstreamCrashed, true);
    assert.equal(crashed.run, 'unknown');
    const [refused] = await fixture.run();
    assert.ok(refused?.kind === 'failed');
    assert.equal(refused.run, 'not-run');
    assert.equal(refused.upstreamCrashed, false);
  });

  it('cancels a repeatable attempt when its caller disconnects, but not a claimed one', async () => {
    await using disposables = createDisposalStack();
    const cancelled: string[] = [];
    const pendingAnswers: (() => void)[] = [];
    let onArrival: () => void = () => undefined;
    const { run, service } = await createFixture(disposables, (request, response) => {
      if (request.method === 'DELETE') {
        cancelled.push(request.url ?? '');
        response.end();
        return;
      }
      pendingAnswers.push(() => {
        response.writeHead(200, { 'x-request-id': request.headers['x-request-id'] });
        response.end('late');
      });
      onArrival();
    });
    const nextArrival = async (): Promise<void> =>
      new Promise((resolve) => {
        onArrival = resolve;
      });
    const repeatableCaller = new AbortController();
    const firstArrival = nextArrival();
    const repeatable = run({}, repeatableCaller.signal);
    await firstArrival;
    repeatableCaller.abort();
    assert.deepEqual(await repeatable, []);
    assert.deepEqual(cancelled, ['/v1/streams/attempt']);
    const secondArrival = nextArrival();
    const claimedCaller = new AbortController();
    const claimed = run({ attemptId: 'claimed', agentIncarnation: 'one' }, claimedCaller.signal);
    await secondArrival;
    claimedCaller.abort();
    pendingAnswers[1]?.();
    await claimed;
    const fence = { attemptId: 'claimed', agentIncarnation: 'one' };
    const context = { peer, signal: claimedCaller.signal };
    const reply = await service.handlers.calls?.['attempt.fence']?.(fence, context);
    assert.equal(reply?.kind, 'finished');
  });

  it('refuses new attempts while draining and completes those in progress', async () => {
    await using disposables = createDisposalStack();
    let finish: () => void = () => undefined;
    let onArrival: () => void = () => undefined;
    const { run, service } = await createFixture(disposables, (_request, response) => {
      finish = () => {
        response.writeHead(200, { 'x-request-id': 'attempt' }).end('done');
      };
      onArrival();
    });
    const arrival = new Promise<void>((resolve) => {
      onArrival = resolve;
    });
    const inProgress = run();
    await arrival;
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
