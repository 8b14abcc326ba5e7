import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect } from 'node:net';
import { describe, it } from 'node:test';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { createFakeAgent, sendCompleteAnswer, startEntry } from './entryFixture.js';

const headers = { 'burdockrail-team': 'desk' };

/** Default of the setting `entry.maximumBodyBytes`. */
const MAXIMUM_BODY_BYTES = 4 * 1024 * 1024;

/** Time in which a request is answered, in milliseconds. */
const ANSWER_MILLISECONDS = 2_000;

const chatRequest = (overrides: object = {}): RequestInit => ({
  method: 'POST',
  headers,
  body: JSON.stringify({ model: 'model', messages: [], ...overrides }),
});

interface ErrorDocument {
  readonly error: { readonly code: number; readonly run: string };
}

describe('createEntryRoleWith', () => {
  it('relays a complete answer with its length, its version and the result headers', async () => {
    await using agent = await createFakeAgent('agent', async (attempt, send) =>
      sendCompleteAnswer(attempt.attemptId, send, '{"text":"ahoy"}'),
    );
    await using entry = await startEntry([agent.announcement]);
    const response = await fetch(`${entry.url}/v1/chat/completions`, chatRequest());
    assert.deepEqual(await response.json(), { text: 'ahoy' });
    assert.equal(response.headers.get('content-length'), '15');
    assert.equal(response.headers.get('burdockrail-result'), '0');
    assert.equal(response.headers.get('burdockrail-run'), 'ran');
    assert.equal(response.headers.get('burdockrail-version'), 'a'.repeat(64));
    assert.equal(response.headers.get('burdockrail-upstream'), 'agent');
    const metrics = await (await fetch(`${entry.url}/metrics`)).text();
    assert.match(metrics, /burdockrail_requests_total\{team="desk",service="model",code="0"/u);
  });

  it('relays each part of an event stream before the next one is produced', async () => {
    let release: () => void = () => undefined;
    const released = new Promise<void>((resolve) => {
      release = resolve;
    });
    await using agent = await createFakeAgent('agent', async ({ attemptId }, send) => {
      const type = { 'content-type': 'text/event-stream' };
      await send({ kind: 'head', attemptId, status: 200, headers: type });
      await send({ kind: 'data', attemptId, bytes: Buffer.from('data: 1\n\n') });
      await released;
      await send({ kind: 'data', attemptId, bytes: Buffer.from('data: [DONE]\n\n') });
      await send({ kind: 'end', attemptId });
    });
    await using entry = await startEntry([agent.announcement]);
    const response = await fetch(`${entry.url}/v1/chat/completions`, chatRequest({ stream: true }));
    const reader = (response.body as ReadableStream<Uint8Array>).getReader();
    const first = await reader.read();
    assert.equal(Buffer.from(first.value ?? []).toString(), 'data: 1\n\n');
    release();
    const second = await reader.read();
    assert.equal(Buffer.from(second.value ?? []).toString(), 'data: [DONE]\n\n');
    assert.equal((await reader.read()).done, true);
  });

  it('aborts an incomplete event stream with an error event and without terminating it', async () => {
    await using agent = await createFakeAgent('agent', async ({ attemptId }, send) => {
      const type = { 'content-type': 'text/event-stream' };
      await send({ kind: 'head', attemptId, status: 200, headers: type });
      await send({ kind: 'data', attemptId, bytes: Buffer.from('data: 1\n\n') });
    });
    await using entry = await startEntry([agent.announcement]);
    const response = await fetch(`${entry.url}/v1/chat/completions`, chatRequest({ stream: true }));
    let text = '';
    await assert.rejects(async () => {
      for await (const part of response.body as unknown as AsyncIterable<Uint8Array>) {
        text += Buffer.from(part).toString();
      }
    });
    assert.match(text, /event: error\ndata: \{"error":\{"code":110,/u);
    assert.doesNotMatch(text, /\[DONE\]/u);
  });

  it('retries a truncated answer at another upstream and never sends the partial one', async () => {
    await using truncating = await createFakeAgent('broken', async ({ attemptId }, send) => {
      await send({ kind: 'head', attemptId, status: 200, headers: {} });
      await send({ kind: 'data', attemptId, bytes: Buffer.from('{"half":') });
    });
    await using healthy = await createFakeAgent('sound', async (attempt, send) =>
      sendCompleteAnswer(attempt.attemptId, send, '{"whole":true}'),
    );
    await using entry = await startEntry([truncating.announcement, healthy.announcement]);
    for (let round = 0; round < 6; round += 1) {
      const response = await fetch(`${entry.url}/v1/chat/completions`, chatRequest());
      assert.deepEqual(await response.json(), { whole: true });
    }
  });

  it('rejects an answer that belongs to another attempt', async () => {
    await using agent = await createFakeAgent('agent', async (_attempt, send) =>
      sendCompleteAnswer('another', send, '{"text":"not yours"}'),
    );
    await using entry = await startEntry([agent.announcement]);
    const response = await fetch(`${entry.url}/v1/chat/completions`, chatRequest());
    const document = (await response.json()) as ErrorDocument;
    assert.equal(document.error.code, ResultCode.AnswerMismatched);
  });

  it('refuses a request without an upstream as not-run, with a retry delay', async () => {
    await using entry = await startEntry([]);
    const response = await fetch(`${entry.url}/v1/chat/completions`, chatRequest());
    assert.equal(response.status, 503);
    assert.equal(response.headers.get('burdockrail-result'), String(ResultCode.NoUpstream));
    assert.equal(response.headers.get('burdockrail-run'), 'not-run');
    assert.equal(response.headers.get('retry-after'), '2');
    const unknownTeam = await fetch(`${entry.url}/v1/chat/completions`, {
      ...chatRequest(),
      headers: {},
    });
    assert.equal(unknownTeam.headers.get('burdockrail-result'), String(ResultCode.UnknownTeam));
  });

  it('completes requests in progress while draining and refuses new ones as not-run', async () => {
    let release: () => void = () => undefined;
    let onBegun: () => void = () => undefined;
    const begun = new Promise<void>((resolve) => {
      onBegun = resolve;
    });
    const released = new Promise<void>((resolve) => {
      release = resolve;
    });
    await using agent = await createFakeAgent('agent', async (attempt, send) => {
      onBegun();
      await released;
      await sendCompleteAnswer(attempt.attemptId, send, '{"text":"late"}');
    });
    await using entry = await startEntry([agent.announcement]);
    const slow = fetch(`${entry.url}/v1/chat/completions`, chatRequest());
    await begun;
    const drained = entry.drain();
    assert.equal((await fetch(`${entry.url}/readyz`)).status, 503);
    const refusedAnswer = await fetch(`${entry.url}/v1/chat/completions`, chatRequest());
    assert.equal(refusedAnswer.headers.get('burdockrail-result'), String(ResultCode.Draining));
    assert.equal(refusedAnswer.headers.get('burdockrail-run'), 'not-run');
    release();
    assert.deepEqual(await (await slow).json(), { text: 'late' });
    await drained;
  });

  it('answers the next request on the connection of one whose body exceeds the limit', async () => {
    await using entry = await startEntry([]);
    const { hostname, port } = new URL(entry.url);
    const caller = connect({ host: hostname, port: Number(port) });
    const body = 'x'.repeat(MAXIMUM_BODY_BYTES + 1);
    const head = `POST /v1/chat HTTP/1.1\r\nhost: a\r\ncontent-length: ${body.length}\r\n\r\n`;
    caller.write(`${head}${body}`);
    caller.write('GET /livez HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n');
    caller.setTimeout(ANSWER_MILLISECONDS, () => caller.destroy());
    let received = '';
    caller.on('data', (bytes) => {
      received += bytes.toString();
    });
    await once(caller, 'close');
    assert.match(received, /^HTTP\/1\.1 413 /u);
    assert.match(received, /HTTP\/1\.1 200 [^]*live\n$/u);
  });
});
