import assert from 'node:assert/strict';
import { setImmediate as turn } from 'node:timers/promises';
import { describe, it } from 'node:test';
import { digestOf } from '@burdockrail/common/digest.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import type { WeightManifest } from '@burdockrail/protocol/protocolWeights.js';
import type { EngineClient } from '../src/engineClient.js';
import { createChunkStore } from '../src/weightsStore.js';
import { verifyArriving } from '../src/weightsVerifier.js';

const parts = [Buffer.from('first'), Buffer.from('other')];
const manifest: WeightManifest = {
  model: 'fogo',
  version: 'one',
  digest: digestOf(Buffer.concat(parts)),
  size: 10,
  chunkSize: 5,
  chunks: parts.map((part) => digestOf(part)),
};

function engineWith(readBack: EngineClient['readBack']): EngineClient {
  const unused = async (): Promise<never> => Promise.reject(new Error('not part of the test'));
  return {
    load: unused,
    events: unused,
    drop: unused,
    order: unused,
    stage: async () => Promise.resolve(),
    readBack,
    [Symbol.asyncDispose]: async () => Promise.resolve(),
  };
}

describe('the check of what an engine holds', () => {
  it('leaves no rejection unhandled when a later read fails before an earlier one ends', async () => {
    let fail: () => void = () => undefined;
    const engine = engineWith(async (_digest, index) => {
      if (index === 1) throw new ResultError(ResultCode.UpstreamFailed, 'gone');
      return new Promise((_resolve, reject) => {
        fail = () => {
          reject(new ResultError(ResultCode.UpstreamFailed, 'gone'));
        };
      });
    });
    const store = createChunkStore(engine);
    store.open(manifest);
    for (const [index, part] of parts.entries()) await store.put(manifest, index, part);
    const signal = new AbortController().signal;
    const checked = verifyArriving(engine, store, manifest, signal, () => undefined);
    // The rejection of the second read is reported at the end of a turn when nobody handles it.
    await turn();
    await turn();
    fail();
    await assert.rejects(checked, ResultError);
  });

  it('reports a chunk that the engine holds wrong and passes when it is right', async () => {
    let isWrong = true;
    const engine = engineWith(async (_digest, index) =>
      Promise.resolve(isWrong && index === 1 ? Buffer.from('wrong') : (parts[index] ?? null)),
    );
    const store = createChunkStore(engine);
    store.open(manifest);
    for (const [index, part] of parts.entries()) await store.put(manifest, index, part);
    const signal = new AbortController().signal;
    const lost: number[] = [];
    await verifyArriving(engine, store, manifest, signal, (index) => {
      lost.push(index);
      isWrong = false;
      void store.put(manifest, index, parts[index] ?? Buffer.alloc(0));
    });
    assert.deepEqual(lost, [1]);
  });
});
