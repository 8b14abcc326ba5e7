import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { describe, it } from 'node:test';
import type { WeightsDialect } from '../src/dialect.js';
import type { HttpClient } from '../src/httpClient.js';
import { createVersionChunks, type VersionChunks } from '../src/versionChunks.js';

const digestOf = (bytes: Uint8Array): string => createHash('sha256').update(bytes).digest('hex');
const bytesOf = (version: number, chunk: number): Buffer => Buffer.from(`${version}/${chunk}`);
const CHUNKS = [0, 1, 2, 3];

/** An engine with one staging, as the chunks of several versions see it. */
function createEngine() {
  const staging = new Map<string, Buffer>();
  const calls = { read: 0, write: 0 };
  const versions: VersionChunks[] = [];
  let isUp = true;
  const client = {
    call: async (
      { method, path }: { method: string; path: string },
      _timeout: number,
      bytes?: Buffer,
    ) => {
      if (!isUp) throw new Error('connect ECONNREFUSED');
      if (method === 'PUT') {
        calls.write += 1;
        staging.set(path, Buffer.from(bytes ?? Buffer.alloc(0)));
        return Promise.resolve({ status: 200, body: Buffer.alloc(0) });
      }
      calls.read += 1;
      const body = staging.get(path);
      return Promise.resolve({
        status: body === undefined ? 404 : 200,
        body: body ?? Buffer.alloc(0),
      });
    },
  } as unknown as HttpClient;
  const dialect = {
    stageWrite: (_model: string, chunk: number) => ({
      method: 'PUT',
      path: String(chunk),
      body: null,
    }),
    stageRead: (_model: string, chunk: number) => ({
      method: 'GET',
      path: String(chunk),
      body: null,
    }),
  } as unknown as WeightsDialect;
  return {
    staging,
    calls,
    setUp: (up: boolean) => {
      isUp = up;
    },
    chunks: (version: number, mayStage = () => true): VersionChunks => {
      const chunks = createVersionChunks({
        engine: client,
        dialect,
        model: 'm',
        version,
        manifest: { layers: 1, digests: CHUNKS.map((chunk) => digestOf(bytesOf(version, chunk))) },
        mayStage,
        onStage: (chunk) => {
          for (const other of versions) if (other !== chunks) other.forgetStaged([chunk]);
        },
      });
      versions.push(chunks);
      return chunks;
    },
  };
}

async function addAll(chunks: VersionChunks): Promise<void> {
  for (const chunk of CHUNKS) assert.ok(await chunks.add(chunk, bytesOf(chunks.version, chunk)));
}

describe('the chunks of a version', () => {
  it('arrive while another version is staged, and are staged after it was loaded', async () => {
    const engine = createEngine();
    const current = engine.chunks(2);
    const next = engine.chunks(3, () => false);
    await addAll(current);
    await addAll(next);
    assert.ok(next.isComplete);
    assert.equal(await current.stage(0), true);
    assert.equal(await next.stage(100), true);
    assert.deepEqual([...engine.staging.values()].map(String), ['3/0', '3/1', '3/2', '3/3']);
  });

  it('arrive before the engine has started', async () => {
    const engine = createEngine();
    engine.setUp(false);
    const chunks = engine.chunks(1);
    await addAll(chunks);
    assert.equal(await chunks.stage(0), false);
    assert.ok(chunks.isComplete);
    engine.setUp(true);
    assert.equal(await chunks.stage(1_000), true);
  });

  it('are refused with a wrong digest, and written again when the staging spoils them', async () => {
    const engine = createEngine();
    const chunks = engine.chunks(1);
    assert.equal(await chunks.add(0, Buffer.from('other')), false);
    await addAll(chunks);
    engine.staging.set('2', Buffer.from('spoilt'));
    assert.equal(await chunks.stage(0), true);
    assert.equal(String(engine.staging.get('2')), '1/2');
  });

  it('are staged again from memory after the engine has lost them', async () => {
    const engine = createEngine();
    const chunks = engine.chunks(1);
    await addAll(chunks);
    engine.staging.clear();
    chunks.forgetStaged(CHUNKS);
    assert.ok(chunks.isComplete);
    assert.equal(chunks.isStaged, false);
    assert.equal(await chunks.stage(0), true);
    assert.equal(chunks.isStaged, true);
  });

  it('are adopted from the staging by a new process, and not read again right away', async () => {
    const engine = createEngine();
    await addAll(engine.chunks(1));
    const adopted = engine.chunks(1);
    await adopted.adoptStaged(0);
    assert.ok(adopted.isComplete);
    engine.calls.read = 0;
    assert.equal(await adopted.stage(500), true);
    assert.equal(engine.calls.read, 0);
    assert.equal(await adopted.stage(5_000), true);
    assert.equal(engine.calls.read, CHUNKS.length);
  });

  it('are staged again after another version has replaced some of them', async () => {
    const engine = createEngine();
    const chunks = engine.chunks(2);
    await addAll(chunks);
    assert.equal(await chunks.stage(0), true);
    assert.ok(await engine.chunks(3).add(1, bytesOf(3, 1)));
    assert.equal(await chunks.stage(200), true);
    assert.deepEqual([...engine.staging.values()].map(String), ['2/0', '2/1', '2/2', '2/3']);
  });
});
