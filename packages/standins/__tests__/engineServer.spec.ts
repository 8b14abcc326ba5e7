import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { request } from 'undici';
import type { EngineFault } from '../src/engineFaults.js';
import { expectedAnswer } from '../src/enginePrompt.js';
import { createEngineServer } from '../src/engineServer.js';
import { createStandinClient, type EngineReport } from '../src/standinClient.js';
import { createWeightContent, type WeightContent } from '../src/weightContent.js';

const address = { host: '127.0.0.1', port: 0 };
const version = { model: 'fogo', version: '1', size: 10_000, chunkSize: 1_000 };

async function stage(url: string, content: WeightContent, skippedChunk: number): Promise<void> {
  const { digest, chunks } = content.manifest;
  for (const index of chunks.keys()) {
    if (index === skippedChunk) continue;
    const path = `${url}/admin/weights/${digest}/chunks/${index}`;
    const answer = await request(path, { method: 'PUT', body: content.chunk(index) });
    assert.equal(answer.statusCode, 200);
    await answer.body.dump();
  }
}

async function load(url: string, content: WeightContent, fencing: number): Promise<unknown> {
  const order = { kind: 'load', digest: content.manifest.digest, fencing };
  const answer = await request(`${url}/admin/orders`, {
    method: 'POST',
    body: JSON.stringify(order),
  });
  return answer.body.json();
}

const body = JSON.stringify({ prompt: 'hello', max_tokens: 5 });

describe('createEngineServer', () => {
  it('reports the digest of the loaded bytes, also if chunks are missing', async () => {
    await using server = await createEngineServer({ address });
    const content = createWeightContent(version);
    const { digest } = content.manifest;
    await stage(server.url, content, 3);
    const partial = (await load(server.url, content, 1)) as { readonly digest: string };
    assert.notEqual(partial.digest, digest);
    await stage(server.url, content, -1);
    assert.deepEqual(await load(server.url, content, 1), { state: 'loaded', digest });
    const answer = await request(`${server.url}/v1/completions`, { method: 'POST', body });
    assert.equal(answer.headers['x-weights-digest'], digest);
    const completion = (await answer.body.json()) as {
      readonly choices: readonly { readonly text: string }[];
    };
    assert.equal(completion.choices[0]?.text, expectedAnswer('hello', 5));
  });

  it('rejects a stale fencing token only if `checksFencing` is set', async () => {
    for (const checksFencing of [true, false]) {
      await using server = await createEngineServer({ address, settings: { checksFencing } });
      const content = createWeightContent(version);
      await stage(server.url, content, -1);
      await load(server.url, content, 5);
      const { digest } = content.manifest;
      const rejected = { error: 'stale-fencing', highest: 5 };
      const loaded = { state: 'loaded', digest };
      assert.deepEqual(await load(server.url, content, 4), checksFencing ? rejected : loaded);
    }
  });

  it('loses its weights in a crash but keeps its counts', async () => {
    await using server = await createEngineServer({ address });
    const client = createStandinClient<EngineReport, EngineFault>(server.url);
    const content = createWeightContent(version);
    await stage(server.url, content, -1);
    await load(server.url, content, 1);
    await server.crash(1);
    let report: EngineReport | undefined;
    while (report === undefined) report = await client.counts().catch(() => undefined);
    assert.equal(report.digest, null);
    assert.equal(report.orders.length, 1);
  });

  it('resumes a cut stream after the last event that the reader received', async () => {
    await using server = await createEngineServer({ address });
    const client = createStandinClient<EngineReport, EngineFault>(server.url);
    const content = createWeightContent(version);
    await stage(server.url, content, -1);
    await load(server.url, content, 1);
    await client.faults([{ kind: 'cut', afterTokens: 2, times: 1 }]);
    const first = await request(`${server.url}/v1/completions`, {
      method: 'POST',
      headers: { 'x-request-id': 'a' },
      body: JSON.stringify({ prompt: 'hello', max_tokens: 5, stream: true }),
    });
    await assert.rejects(first.body.text());
    const second = await request(`${server.url}/v1/streams/a`, {
      headers: { 'last-event-id': '1' },
    });
    const text = await second.body.text();
    assert.ok(text.startsWith('id: 2\n'));
    assert.ok(text.endsWith('data: [DONE]\n\n'));
  });

  it('refuses requests with a rest, says that it leaves and falls silent under faults', async () => {
    await using server = await createEngineServer({ address });
    const client = createStandinClient<EngineReport, EngineFault>(server.url);
    const content = createWeightContent(version);
    await stage(server.url, content, -1);
    await load(server.url, content, 1);
    const silenceMilliseconds = 120;
    await client.faults([
      { kind: 'rest', seconds: 1.5, times: 1 },
      { kind: 'leaving' },
      { kind: 'silence', afterTokens: 2, milliseconds: silenceMilliseconds },
    ]);
    const ask = async () => {
      const streamed = JSON.stringify({ prompt: 'hello', max_tokens: 5, stream: true });
      return request(`${server.url}/v1/completions`, { method: 'POST', body: streamed });
    };
    const refused = await ask();
    await refused.body.dump();
    assert.deepEqual([refused.statusCode, refused.headers['retry-after']], [503, '1.5']);
    assert.equal((await client.counts()).runs, 0);
    const startedAt = performance.now();
    const answer = await ask();
    assert.deepEqual([answer.statusCode, answer.headers['x-leaving']], [200, '1']);
    const ids = [...(await answer.body.text()).matchAll(/^id: (\d+)$/gmu)].map(([, id]) => id);
    assert.deepEqual(ids, ['0', '1', '2', '3', '4']);
    assert.ok(performance.now() - startedAt >= silenceMilliseconds);
  });

  it('reports the weights at the start of a sequence, not at the arrival of its request', async () => {
    const settings = { capacity: 1, loadMilliseconds: 50 };
    await using server = await createEngineServer({ address, settings });
    const contents = ['1', '2'].map((name) => createWeightContent({ ...version, version: name }));
    for (const content of contents) await stage(server.url, content, -1);
    const [before, after] = contents;
    assert.ok(before !== undefined && after !== undefined);
    await load(server.url, before, 1);
    const send = async () =>
      request(`${server.url}/v1/completions`, {
        method: 'POST',
        body: JSON.stringify({ prompt: 'hello', max_tokens: 20, stream: true }),
      });
    const running = await send();
    const loaded = load(server.url, after, 2);
    const waiting = await send();
    await loaded;
    const digests = [before, after].map(({ manifest }) => manifest.digest);
    for (const [index, answer] of [running, waiting].entries()) {
      const digest = digests[index] ?? '';
      assert.equal(answer.headers['x-weights-digest'], digest);
      const reportedWeights = (await answer.body.text()).match(/"weights":"[0-9a-f]+"/gu) ?? [];
      assert.deepEqual([...new Set(reportedWeights)], [`"weights":"${digest}"`]);
    }
  });
});
