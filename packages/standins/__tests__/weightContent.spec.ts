import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createWeightContent } from '../src/weightContent.js';

const first = { model: 'fogo', version: '1', size: 100_500, chunkSize: 1_000 };

describe('createWeightContent', () => {
  it('generates equal bytes from equal descriptions', () => {
    assert.deepEqual(createWeightContent(first).manifest, createWeightContent(first).manifest);
  });

  it('shares the given share of its chunks with another version', () => {
    const second = { ...first, version: '2', sharedWith: { version: '1', share: 0.9 } };
    const firstChunks = new Set(createWeightContent(first).manifest.chunks);
    const { chunks } = createWeightContent(second).manifest;
    const common = chunks.filter((chunk) => firstChunks.has(chunk)).length;
    assert.equal(common, Math.round(chunks.length * 0.9));
  });
});
