import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createInputShare } from '../src/inputShare.js';

/** Requests, parts and slices of a crowd in these tests. */
const MANY = 2_000;

const SLICE_BYTES = 1_024;
const WINDOW_MILLISECONDS = 1_000;
const LARGE_PART_BYTES = 4_096;

describe('the share of a connection in the work on input', () => {
  it('is not exceeded by requests one after the other, nor by large parts', () => {
    const share = createInputShare();
    for (let count = 0; count < MANY; count += 1) {
      share.countRequest(false);
      share.countBodyPart(LARGE_PART_BYTES);
      share.sliceProcessed(SLICE_BYTES, 0);
    }
    assert.equal(share.isHeavy(0), false);
    assert.equal(share.hasSmallParts, false);
  });

  it('is exceeded by requests that are sent ahead, until the next window', () => {
    const share = createInputShare();
    for (let count = 0; count < MANY; count += 1) share.countRequest(true);
    share.sliceProcessed(SLICE_BYTES, 0);
    assert.ok(share.isHeavy(0));
    assert.equal(share.hasSmallParts, false);
    assert.equal(share.isHeavy(WINDOW_MILLISECONDS), false);
  });

  it('is exceeded by small parts', () => {
    const share = createInputShare();
    for (let count = 0; count < MANY; count += 1) share.countBodyPart(1);
    share.sliceProcessed(SLICE_BYTES, 0);
    assert.ok(share.isHeavy(0));
    assert.ok(share.hasSmallParts);
  });

  it('has larger slices within a body, and small ones behind each request', () => {
    const share = createInputShare();
    const first = share.sliceBytes;
    for (let count = 0; count < MANY; count += 1) {
      share.countBodyPart(LARGE_PART_BYTES);
      share.sliceProcessed(SLICE_BYTES, 0);
    }
    assert.ok(share.sliceBytes > first);
    share.countRequest(false);
    assert.equal(share.sliceBytes, first);
  });

  it('tells the work of each slice', () => {
    const share = createInputShare();
    share.countBodyPart(1);
    share.countBodyPart(1);
    assert.equal(share.sliceProcessed(SLICE_BYTES, 0), 2);
    assert.equal(share.sliceProcessed(0, 0), 0);
  });

  it('is exceeded by a long head, until it has ended', () => {
    const share = createInputShare();
    for (let bytes = 0; bytes < 8_192; bytes += SLICE_BYTES) share.sliceProcessed(SLICE_BYTES, 0);
    assert.ok(share.isHeavy(0));
    assert.equal(share.hasSmallParts, false);
    share.countRequest(false);
    assert.equal(share.isHeavy(0), false);
  });
});
