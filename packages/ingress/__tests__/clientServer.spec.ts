import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { describe, it } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import { createDisposalStack, type DisposalStack } from '@burdockrail/common/disposalStack.js';
import { readClientBody } from '../src/clientBody.js';
import { createClientGuard } from '../src/clientGuard.js';
import { createClientServer, type ClientExchange, type ClientServer } from '../src/clientServer.js';

const HOST = '127.0.0.1';
const KIBIBYTE = 1_024;
const MEBIBYTE = 1_024 * 1_024;
const WAIT_MILLISECONDS = 10_000;

/** What clients may take in a test. */
interface Bounds {
  readonly memoryBytes: number;
  readonly maximumConnections: number;
}

const roomy: Bounds = { memoryBytes: 40 * MEBIBYTE, maximumConnections: 1_000 };
const narrow: Bounds = { memoryBytes: 1_500_000, maximumConnections: 6 };

function answer({ response, endsInput, answerHeld }: ClientExchange, status: number, body: string) {
  response.writeHead(status, {
    'content-length': body.length,
    ...(endsInput() ? { connection: 'close' } : {}),
  });
  answerHeld(body.length);
  response.end(body);
}

/** Reads bodies of up to a limit and answers with their length. */
const measureBody =
  (maximumBytes: number) =>
  async (client: ClientExchange): Promise<void> => {
    const body = await readClientBody(client, maximumBytes);
    const statuses = { whole: 200, tooLarge: 413, noMemory: 503, aborted: 0 };
    if (body.kind === 'aborted') return;
    const text = body.kind === 'whole' ? `${body.bytes?.length ?? 0} bytes` : body.kind;
    answer(client, statuses[body.kind], text);
  };

async function startServer(
  disposables: DisposalStack,
  { memoryBytes, maximumConnections }: Bounds,
  handle: (client: ClientExchange) => Promise<void> | void,
): Promise<ClientServer & { readonly port: number }> {
  const started = createClientServer({
    maximumConnections,
    guard: createClientGuard(memoryBytes),
    time: { now: () => performance.now() },
    metrics: { count: () => undefined },
    handle: (client) => void handle(client),
  });
  await started.listen({ host: HOST, port: 0 });
  const { port } = started.server.address() as AddressInfo;
  disposables.defer(() => {
    started.server.close();
    started.server.closeAllConnections();
  });
  return { ...started, port };
}

interface Client {
  readonly socket: Socket;
  readonly received: () => string;
  readonly isClosed: () => boolean;
}

async function openClient(disposables: DisposalStack, port: number): Promise<Client> {
  const socket = connect({ host: HOST, port });
  disposables.defer(() => {
    socket.destroy();
  });
  let received = '';
  let isClosed = false;
  socket.on('error', () => undefined);
  socket.on('data', (bytes) => (received += bytes.toString('latin1')));
  socket.on('close', () => (isClosed = true));
  await once(socket, 'connect');
  return { socket, received: () => received, isClosed: () => isClosed };
}

async function waitUntil(condition: () => boolean): Promise<void> {
  const deadline = performance.now() + WAIT_MILLISECONDS;
  while (!condition()) {
    assert.ok(performance.now() < deadline, 'the condition holds in time');
    await pause(10);
  }
}

const post = (line: string): string => `POST / HTTP/1.1\r\nhost: a\r\n${line}\r\n\r\n`;

describe('a server for clients that are not trusted', { timeout: 60_000 }, () => {
  const REQUESTS_AHEAD = 3_000;

  /** More than this many requests of a connection in progress would hold the others up. */
  const MAXIMUM_IN_PROGRESS = 100;

  it('answers what a client sends ahead in its order, a few at a time', async () => {
    await using disposables = createDisposalStack();
    let inProgress = 0;
    let mostInProgress = 0;
    const { port } = await startServer(disposables, roomy, async (client) => {
      inProgress += 1;
      mostInProgress = Math.max(mostInProgress, inProgress);
      await pause(1);
      inProgress -= 1;
      answer(client, 200, `<${client.request.url ?? ''}>`);
    });
    const { socket, received } = await openClient(disposables, port);
    const requests = Array.from(
      { length: REQUESTS_AHEAD },
      (_value, index) => `GET /${index} HTTP/1.1\r\nhost: a\r\n\r\n`,
    );
    socket.write(requests.join(''));
    await waitUntil(() => received().includes(`</${REQUESTS_AHEAD - 1}>`));
    const order = [...received().matchAll(/<\/(?<index>\d+)>/gu)].map(({ groups }) =>
      Number(groups?.index),
    );
    assert.deepEqual(order, [...requests.keys()]);
    assert.ok(mostInProgress < MAXIMUM_IN_PROGRESS, `${mostInProgress} in progress`);
  });

  for (const line of [`content-length: ${64 * MEBIBYTE}`, 'transfer-encoding: chunked']) {
    it(`refuses a body far over the limit so that its sender sees it (${line})`, async () => {
      await using disposables = createDisposalStack();
      const { port } = await startServer(disposables, roomy, measureBody(MEBIBYTE));
      const { socket, received, isClosed } = await openClient(disposables, port);
      socket.write(post(line));
      const part = 'x'.repeat(64 * KIBIBYTE);
      const chunk = line.startsWith('content') ? part : `10000\r\n${part}\r\n`;
      while (!socket.destroyed && !received().includes('tooLarge')) {
        socket.write(chunk);
        await pause(1);
      }
      assert.match(received(), /^HTTP\/1\.1 413 [^]*connection: close[^]*\r\n\r\ntooLarge$/iu);
      await waitUntil(isClosed);
    });
  }

  it('keeps a connection whose refused body is hardly longer than the limit', async () => {
    await using disposables = createDisposalStack();
    const { port } = await startServer(disposables, roomy, measureBody(KIBIBYTE));
    const { socket, received } = await openClient(disposables, port);
    socket.write(post(`content-length: ${2 * KIBIBYTE}`) + 'x'.repeat(2 * KIBIBYTE));
    socket.write(post('content-length: 2') + 'ab');
    await waitUntil(() => received().endsWith('2 bytes'));
    assert.match(received(), /^HTTP\/1\.1 413 /u);
  });

  it('reads a body in chunks of one byte', async () => {
    const bytes = 300_000;
    await using disposables = createDisposalStack();
    const { port } = await startServer(disposables, roomy, measureBody(MEBIBYTE));
    const { socket, received } = await openClient(disposables, port);
    socket.write(`${post('transfer-encoding: chunked')}${'1\r\nx\r\n'.repeat(bytes)}0\r\n\r\n`);
    await waitUntil(() => received() !== '');
    assert.ok(received().endsWith(`${bytes} bytes`), received());
  });

  it('refuses further bodies in small chunks while it reads many', async () => {
    await using disposables = createDisposalStack();
    const { port } = await startServer(disposables, roomy, measureBody(MEBIBYTE));
    const clients = await Promise.all(
      Array.from({ length: 12 }, async () => openClient(disposables, port)),
    );
    for (const { socket } of clients)
      socket.write(post('transfer-encoding: chunked') + '1\r\nx\r\n'.repeat(10_000));
    const refused = (): readonly Client[] =>
      clients.filter(({ received }) => received().startsWith('HTTP/1.1 503'));
    await waitUntil(() => refused().length >= 4);
    for (const client of clients) if (!refused().includes(client)) client.socket.end('0\r\n\r\n');
    await waitUntil(() => clients.every(({ received }) => received() !== ''));
    assert.equal(refused().length, 4);
  });

  it('refuses the largest body when others need its memory', async () => {
    await using disposables = createDisposalStack();
    const { port } = await startServer(disposables, narrow, measureBody(2 * MEBIBYTE));
    const large = await openClient(disposables, port);
    large.socket.write(post('content-length: 1400000') + 'x'.repeat(1_200_000));
    await pause(100);
    const small = await openClient(disposables, port);
    small.socket.write(post('content-length: 700000') + 'x'.repeat(700_000));
    await waitUntil(() => large.received() !== '' && small.received() !== '');
    assert.match(large.received(), /^HTTP\/1\.1 503 /u);
    assert.ok(small.received().endsWith('700000 bytes'));
    await waitUntil(large.isClosed);
  });

  it('closes the connection without a request that is oldest when there are too many', async () => {
    await using disposables = createDisposalStack();
    const { port } = await startServer(disposables, narrow, (client) => {
      answer(client, 200, 'ok');
    });
    const served = await openClient(disposables, port);
    served.socket.write(post('content-length: 0'));
    await waitUntil(() => served.received() !== '');
    const silent: Client[] = [];
    for (let count = 0; count < 6; count += 1) silent.push(await openClient(disposables, port));
    await waitUntil(() => silent[0]?.isClosed() === true);
    assert.ok(silent.slice(1).every(({ isClosed }) => !isClosed()));
    served.socket.write(post('content-length: 0'));
    await waitUntil(() => served.received().split('HTTP/1.1 200').length === 3);
  });

  it('waits for an answer for longer than for a client that does not read it', async () => {
    await using disposables = createDisposalStack();
    const { port, server } = await startServer(disposables, roomy, async (client) => {
      await pause(400);
      answer(client, 200, 'x'.repeat(16 * MEBIBYTE));
    });
    server.timeout = 100;
    server.keepAliveTimeout = 100;
    const patient = await openClient(disposables, port);
    patient.socket.write(post('content-length: 0'));
    await waitUntil(() => patient.received().length > 16 * MEBIBYTE);
    const unread = connect({ host: HOST, port });
    disposables.defer(() => {
      unread.destroy();
    });
    unread.on('error', () => undefined);
    unread.pause();
    unread.write(post('content-length: 0'));
    const connections = async (): Promise<number> =>
      new Promise((resolve) => {
        server.getConnections((_error, count) => {
          resolve(count);
        });
      });
    await pause(200);
    assert.ok((await connections()) > 0);
    const deadline = performance.now() + WAIT_MILLISECONDS;
    while ((await connections()) > 0) {
      assert.ok(performance.now() < deadline, 'a client that does not read is closed');
      await pause(20);
    }
  });

  it('gives up answers that clients do not read when others need their memory', async () => {
    await using disposables = createDisposalStack();
    const { port } = await startServer(disposables, narrow, (client) => {
      answer(client, 200, client.request.url === '/large' ? 'x'.repeat(32 * MEBIBYTE) : 'ok');
    });
    const unread = connect({ host: HOST, port });
    unread.on('error', () => undefined);
    unread.pause();
    unread.write('GET /large HTTP/1.1\r\nhost: a\r\n\r\n');
    const closed = once(unread, 'close');
    const other = await openClient(disposables, port);
    other.socket.write('GET /small HTTP/1.1\r\nhost: a\r\n\r\n');
    await waitUntil(() => other.received().endsWith('ok'));
    unread.resume();
    await closed;
  });
});
