import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { describe, it } from 'node:test';
import type { UpstreamCandidate } from '@burdockrail/routing/upstreamChoice.js';
import type { EntryContext } from '../src/entryContext.js';
import { runBuffered } from '../src/entryBuffered.js';
import { createUpstreamConnections } from '../src/upstreamConnections.js';
import { createEntryContext, createRetryBudget } from './entryContextFixture.js';
import { createPlayedRequest } from './entryRequestFixture.js';

const REQUEST_ID = 'request-1';

/** Silence of the first upstream, in milliseconds: longer than an attempt may take before retry. */
const SILENCE_MILLISECONDS = 800;

interface Upstream extends AsyncDisposable {
  readonly address: string;
  readonly requests: number;
}

async function startUpstream(answer: (response: ServerResponse) => void): Promise<Upstream> {
  let requests = 0;
  const server: Server = createServer((_request, response) => {
    requests += 1;
    answer(response);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    get requests() {
      return requests;
    },
    [Symbol.asyncDispose]: async () => {
      server.closeAllConnections();
      server.close();
      await once(server, 'close');
    },
  };
}

function sendAnswer(response: ServerResponse, text: string): void {
  response.setHeader('x-request', REQUEST_ID);
  response.setHeader('x-signed', 'yes');
  response.end(text);
}

function answerLate(response: ServerResponse): void {
  setTimeout(() => {
    sendAnswer(response, 'late');
  }, SILENCE_MILLISECONDS);
}

/** Plays one repeatable request at the first of two upstreams, which pauses. */
async function playRequest(
  addresses: readonly string[],
  retryIsAllowed: boolean,
  changes: Partial<EntryContext> = {},
  /** True for an upstream that gets no new requests, such as a draining one. */
  isLeaving: (address: string) => boolean = () => false,
): Promise<{ readonly body: string; readonly refused: boolean }> {
  await using connections = createUpstreamConnections('127.0.0.1');
  const base = createEntryContext(connections, '', {
    retryBudget: createRetryBudget(() => retryIsAllowed),
    ...changes,
  });
  const candidates = addresses.map((address, index): UpstreamCandidate => {
    return {
      id: address,
      dataCentre: 'north',
      slots: 4,
      ownRequests: index,
      reportedRequests: null,
      reportAgeMilliseconds: 0,
      suspended: false,
      silent: false,
      failureRate: 0,
    };
  });
  const entry = {
    ...base,
    settings: { ...base.settings, dataCentre: 'north' },
    upstreams: {
      ...base.upstreams,
      candidates: () => candidates.filter(({ id }) => !isLeaving(id)),
    },
    clusterView: {
      weightsOf: () => [],
      table: base.clusterView.table,
      entries: 1,
      directory: { get: (id: string) => ({ record: { id, address: id, startedAt: 1 } }) },
    },
  } as unknown as EntryContext;
  let body = '';
  let refused = false;
  const request = createPlayedRequest({
    id: REQUEST_ID,
    route: { kind: 'repeatable', attempts: 2, objectiveMilliseconds: 100 },
    answer: {
      sendBuffered: (_status: number, _headers: readonly string[], bytes: Buffer) => {
        body = bytes.toString();
      },
      refuse: () => {
        refused = true;
      },
    },
  });
  await runBuffered(entry, request);
  return { body, refused };
}

describe('a repeatable request whose upstream falls silent for a while', () => {
  it('is sent to another upstream', async () => {
    await using first = await startUpstream(answerLate);
    await using second = await startUpstream((response) => {
      sendAnswer(response, 'second');
    });
    const { body } = await playRequest([first.address, second.address], true);
    assert.equal(body, 'second');
  });

  it('is answered by it when the retry budget is spent', async () => {
    await using first = await startUpstream(answerLate);
    await using second = await startUpstream((response) => {
      sendAnswer(response, 'second');
    });
    const { body, refused } = await playRequest([first.address, second.address], false);
    assert.equal(refused, false);
    assert.equal(body, 'late');
    assert.equal(second.requests, 0);
  });

  it('is answered by it when the other upstream limits its requests', async () => {
    await using first = await startUpstream(answerLate);
    await using second = await startUpstream((response) => {
      sendAnswer(response, 'second');
    });
    const limits = {
      take: (id: string) => (id === second.address ? 1_000 : 0),
      recordAnswer: () => undefined,
      retain: () => undefined,
    };
    const { body } = await playRequest([first.address, second.address], true, { limits });
    assert.equal(second.requests, 0);
    assert.equal(body, 'late');
  });

  it('is answered by it when the other upstream is full', async () => {
    await using first = await startUpstream(answerLate);
    await using second = await startUpstream((response) => {
      response.statusCode = 503;
      sendAnswer(response, 'full');
    });
    const { body } = await playRequest([first.address, second.address], true);
    assert.equal(body, 'late');
  });

  it('is answered by it when the other upstream fails', async () => {
    await using first = await startUpstream(answerLate);
    await using second = await startUpstream((response) => {
      response.statusCode = 500;
      sendAnswer(response, 'failed');
    });
    const { body } = await playRequest([first.address, second.address], true);
    assert.equal(body, 'late');
  });

  it('is answered by it when the other upstream breaks off', async () => {
    await using first = await startUpstream(answerLate);
    await using second = await startUpstream((response) => {
      response.destroy();
    });
    const { body } = await playRequest([first.address, second.address], true);
    assert.equal(body, 'late');
  });

  it('is answered by it when the other upstream falls silent too', async () => {
    await using first = await startUpstream(answerLate);
    await using second = await startUpstream(() => undefined);
    const { body } = await playRequest([first.address, second.address], true);
    assert.equal(body, 'late');
    assert.equal(second.requests, 1);
  });

  it('is sent to no more upstreams than its attempts', async () => {
    await using first = await startUpstream(answerLate);
    await using second = await startUpstream((response) => {
      response.statusCode = 503;
      sendAnswer(response, 'full');
    });
    await using third = await startUpstream((response) => {
      sendAnswer(response, 'third');
    });
    const { body } = await playRequest([first.address, second.address, third.address], true);
    assert.equal(body, 'late');
    assert.equal(third.requests, 0);
  });

  it('is not sent to an upstream that has begun to drain since no retry was left for it', async () => {
    await using first = await startUpstream(answerLate);
    await using second = await startUpstream((response) => {
      sendAnswer(response, 'second');
    });
    let isDraining = false;
    const retryBudget = createRetryBudget(() => {
      const isAllowed = isDraining;
      isDraining = true;
      return isAllowed;
    });
    const addresses = [first.address, second.address];
    const { body } = await playRequest(
      addresses,
      true,
      { retryBudget },
      (address) => isDraining && address === second.address,
    );
    assert.equal(second.requests, 0);
    assert.equal(body, 'late');
  });
});
