import assert from 'node:assert/strict';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { describe, it } from 'node:test';
import { digestOf } from '@burdockrail/common/digest.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import type { WeightManifest } from '@burdockrail/protocol/protocolWeights.js';
import type { EngineClient } from '../src/engineClient.js';
import { createChunkStore } from '../src/weightsStore.js';
import { verifyStagedVersion } from '../src/weightsVerifier.js';

const chunks = [Buffer.from('first'), Buffer.from('other')];
const manifest: WeightManifest = {
  model: 'fogo',
  version: 'one',
  digest: digestOf(Buffer.concat(chunks)),
  size: 10,
  chunkSize: 5,
  chunks: chunks.map((chunk) => digestOf(chunk)),
};

function createTestEngine(readBack: EngineClient['readStagedChunk']): EngineClient {
  const unused = async (): Promise<never> => Promise.reject(new Error('not part of the test'));
  return {
    getLoad: unused,
    getEvents: unused,
    discardStaged: unused,
    sendOrder: unused,
    stageChunk: async () => Promise.resolve(),
    readStagedChunk: readBack,
    [Symbol.asyncDispose]: async () => Promise.resolve(),
  };
}

describe('verification of a staged version', () => {
  it('handles the rejection of a later read that fails before an earlier one ends', async () => {
    let failFirstRead: () => void = () => undefined;
    const engine = createTestEngine(async (_digest, index) => {
      if (index === 1) throw new ResultError(ResultCode.UpstreamFailed, 'engine unreachable');
      return new Promise((_resolve, reject) => {
        failFirstRead = () => {
          reject(new ResultError(ResultCode.UpstreamFailed, 'engine unreachable'));
        };
      });
    });
    const store = createChunkStore(engine);
    store.open(manifest);
    for (const [index, chunk] of chunks.entries()) await store.put(manifest, index, chunk);
    const signal = new AbortController().signal;
    const verification = verifyStagedVersion(engine, store, manifest, signal, () => undefined);
    // An unhandled rejection of the second read would be reported at the end of an event loop turn.
    await nextTurn();
    await nextTurn();
    failFirstRead();
    await assert.rejects(verification, ResultError);
  });

  it('reports a corrupt chunk and succeeds after it was replaced', async () => {
    let isCorrupt = true;
    const engine = createTestEngine(async (_digest, index) =>
      Promise.resolve(isCorrupt && index === 1 ? Buffer.from('wrong') : (chunks[index] ?? null)),
    );
    const store = createChunkStore(engine);
    store.open(manifest);
    for (const [index, chunk] of chunks.entries()) await store.put(manifest, index, chunk);
    const signal = new AbortController().signal;
    const mismatches: number[] = [];
    await verifyStagedVersion(engine, store, manifest, signal, (index) => {
      mismatches.push(index);
      isCorrupt = false;
      void store.put(manifest, index, chunks[index] ?? Buffer.alloc(0));
    });
    assert.deepEqual(mismatches, [1]);
  });
});
