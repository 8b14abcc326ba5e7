import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import fastCheck from 'fast-check';
import { createFrameReader, encodeFrame } from '../src/frameCodec.js';

function isMalformed(error: unknown): boolean {
  return error instanceof ResultError && error.code === ResultCode.MessageMalformed;
}

describe('a frame reader', () => {
  it('gives the same messages however the bytes are split', () => {
    const messages = fastCheck.array(fastCheck.array(fastCheck.string()), { minLength: 1 });
    fastCheck.assert(
      fastCheck.property(messages, fastCheck.integer({ min: 1, max: 40 }), (sent, step) => {
        const bytes = Buffer.concat(sent.map(encodeFrame));
        const reader = createFrameReader();
        const received: unknown[] = [];
        for (let start = 0; start < bytes.length; start += step) {
          received.push(...reader.push(bytes.subarray(start, start + step)));
        }
        assert.deepEqual(received, sent);
      }),
    );
  });

  it('refuses a frame in which any bit of the checksum or the body was changed', () => {
    const frame = encodeFrame([2, 1, 'attempt.fence', { attemptId: 'one', number: 7 }]);
    for (let bit = 32; bit < frame.length * 8; bit += 1) {
      const changed = Buffer.from(frame);
      const place = bit >> 3;
      changed[place] = (changed[place] ?? 0) ^ (1 << (bit & 7));
      assert.throws(() => createFrameReader().push(changed), isMalformed);
    }
  });

  it('refuses a frame over the size limit before its body arrives', () => {
    const frame = encodeFrame('x'.repeat(100));
    assert.throws(() => createFrameReader(50).push(frame.subarray(0, 8)), isMalformed);
  });
});
