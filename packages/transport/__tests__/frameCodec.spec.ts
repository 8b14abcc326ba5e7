import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import fastCheck from 'fast-check';
import { digestOf } from '@burdockrail/common/digest.js';
import { frameKeyMap } from '../src/frameKeys.js';
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

  it('gives back objects whatever their property names are', () => {
    const names = fastCheck.oneof(
      fastCheck.constantFrom(...Object.keys(frameKeyMap)),
      fastCheck.string(),
      fastCheck.integer({ min: 0, max: 200 }).map(String),
    );
    const values = fastCheck.letrec<{ tree: unknown }>((tie) => ({
      tree: fastCheck.oneof(
        { maxDepth: 3 },
        fastCheck.integer(),
        fastCheck.string(),
        fastCheck.dictionary(names, tie('tree'), { noNullPrototype: true }),
        fastCheck.array(tie('tree')),
      ),
    }));
    fastCheck.assert(
      fastCheck.property(values.tree, (sent) => {
        assert.deepEqual(createFrameReader().push(encodeFrame(sent)), [sent]);
      }),
    );
  });

  it('keeps the numbers of property names, which logs on disk depend on', () => {
    assert.equal(frameKeyMap.kind, 1);
    assert.equal(frameKeyMap.leader, Object.keys(frameKeyMap).length);
    assert.equal(digestOf(JSON.stringify(frameKeyMap)).slice(0, 16), '5cc3f5497d3b1de2');
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
