import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { createFakeAgent, sendWhole, startEntry } from './entryFixture.js';

const headers = { 'burdockrail-team': 'desk' };
const chat = (more: object = {}): RequestInit => ({
  method: 'POST',
  headers,
  body: JSON.stringify({ model: 'model', messages: [], ...more }),
});

interface ErrorDocument {
  readonly error: { readonly code: number; readonly run: string };
}

describe('the entry role', () => {
  it('relays a whole answer with its length, its version and the result headers', async () => {
    await using agent = await createFakeAgent('agent', async (order, send) =>
      sendWhole(order.attemptId, send, '{"text":"ahoy"}'),
    );
    await using entry = await startEntry([agent.announcement]);
    const response = await fetch(`${entry.url}/v1/chat/completions`, chat());
    assert.deepEqual(await response.json(), { text: 'ahoy' });
    assert.equal(response.headers.get('content-length'), '15');
    assert.equal(response.headers.get('burdockrail-result'), '0');
    assert.equal(response.headers.get('burdockrail-run'), 'ran');
    assert.equal(response.headers.get('burdockrail-version'), 'a'.repeat(64));
    assert.equal(response.headers.get('burdockrail-upstream'), 'agent');
    const metrics = await (await fetch(`${entry.url}/metrics`)).text();
    assert.match(metrics, /burdockrail_requests_total\{team="desk",service="model",code="0"/u);
  });

  it('passes on each part of an event stream before the next one is made', async () => {
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
    const response = await fetch(`${entry.url}/v1/chat/completions`, chat({ stream: true }));
    const reader = (response.body as ReadableStream<Uint8Array>).getReader();
    const first = await reader.read();
    assert.equal(Buffer.from(first.value ?? []).toString(), 'data: 1\n\n');
    release();
    const second = await reader.read();
    assert.equal(Buffer.from(second.value ?? []).toString(), 'data: [DONE]\n\n');
    assert.equal((await reader.read()).done, true);
  });

  it('shows a cut event stream as cut, with a numbered error and without an end', async () => {
    await using agent = await createFakeAgent('agent', async ({ attemptId }, send) => {
      const type = { 'content-type': 'text/event-stream' };
      await send({ kind: 'head', attemptId, status: 200, headers: type });
      await send({ kind: 'data', attemptId, bytes: Buffer.from('data: 1\n\n') });
    });
    await using entry = await startEntry([agent.announcement]);
    const response = await fetch(`${entry.url}/v1/chat/completions`, chat({ stream: true }));
    let text = '';
    await assert.rejects(async () => {
      for await (const part of response.body as unknown as AsyncIterable<Uint8Array>) {
        text += Buffer.from(part).toString();
      }
    });
    assert.match(text, /event: error\ndata: \{"error":\{"code":110,/u);
    assert.doesNotMatch(text, /\[DONE\]/u);
  });

  it('retries an answer cut before its end elsewhere and never sends the part', async () => {
    await using broken = await createFakeAgent('broken', async ({ attemptId }, send) => {
      await send({ kind: 'head', attemptId, status: 200, headers: {} });
      await send({ kind: 'data', attemptId, bytes: Buffer.from('{"half":') });
    });
    await using sound = await createFakeAgent('sound', async (order, send) =>
      sendWhole(order.attemptId, send, '{"whole":true}'),
    );
    await using entry = await startEntry([broken.announcement, sound.announcement]);
    for (let round = 0; round < 6; round += 1) {
      const response = await fetch(`${entry.url}/v1/chat/completions`, chat());
      assert.deepEqual(await response.json(), { whole: true });
    }
  });

  it('gives up an answer that belongs to another attempt', async () => {
    await using agent = await createFakeAgent('agent', async (_order, send) =>
      sendWhole('another', send, '{"text":"not yours"}'),
    );
    await using entry = await startEntry([agent.announcement]);
    const response = await fetch(`${entry.url}/v1/chat/completions`, chat());
    const document = (await response.json()) as ErrorDocument;
    assert.equal(document.error.code, ResultCode.AnswerMismatched);
  });

  it('answers what it cannot serve at once as not run, and when to come back', async () => {
    await using entry = await startEntry([]);
    const response = await fetch(`${entry.url}/v1/chat/completions`, chat());
    assert.equal(response.status, 503);
    assert.equal(response.headers.get('burdockrail-result'), String(ResultCode.NoUpstream));
    assert.equal(response.headers.get('burdockrail-run'), 'not-run');
    assert.equal(response.headers.get('retry-after'), '2');
    const unknownTeam = await fetch(`${entry.url}/v1/chat/completions`, {
      ...chat(),
      headers: {},
    });
    assert.equal(unknownTeam.headers.get('burdockrail-result'), String(ResultCode.UnknownTeam));
  });

  it('finishes what is in progress when it drains and refuses new work as not run', async () => {
    let release: () => void = () => undefined;
    let began: () => void = () => undefined;
    const begun = new Promise<void>((resolve) => {
      began = resolve;
    });
    const released = new Promise<void>((resolve) => {
      release = resolve;
    });
    await using agent = await createFakeAgent('agent', async (order, send) => {
      began();
      await released;
      await sendWhole(order.attemptId, send, '{"text":"late"}');
    });
    await using entry = await startEntry([agent.announcement]);
    const slow = fetch(`${entry.url}/v1/chat/completions`, chat());
    await begun;
    const drained = entry.drain();
    assert.equal((await fetch(`${entry.url}/readyz`)).status, 503);
    const refusedAnswer = await fetch(`${entry.url}/v1/chat/completions`, chat());
    assert.equal(refusedAnswer.headers.get('burdockrail-result'), String(ResultCode.Draining));
    assert.equal(refusedAnswer.headers.get('burdockrail-run'), 'not-run');
    release();
    assert.deepEqual(await (await slow).json(), { text: 'late' });
    await drained;
  });
});
