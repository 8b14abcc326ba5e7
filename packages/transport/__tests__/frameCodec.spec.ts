import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createByteBudget } from '@burdockrail/common/byteBudget.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import fastCheck from 'fast-check';
import { digestOf } from '@burdockrail/common/digest.js';
import { frameKeyMap } from '../src/frameKeys.js';
import {
  createFrameReader,
  decodeBody,
  encodeFrame,
  MAXIMUM_FRAME_BYTES,
} from '../src/frameCodec.js';

/** Memory that a malformed body of some bytes may take, in bytes. */
const MOST_GROWN_BYTES = 32 * 1024 * 1024;

/** Room for one frame of the test with the blocks that it is gathered in, in bytes. */
const BUDGET_BYTES = 150_000;

function isMalformed(error: unknown): boolean {
  return error instanceof ResultError && error.code === ResultCode.MessageMalformed;
}

describe('a frame reader', () => {
  it('decodes the same messages regardless of how the bytes are split', () => {
    const messages = fastCheck.array(fastCheck.array(fastCheck.string()), { minLength: 1 });
    fastCheck.assert(
      fastCheck.property(messages, fastCheck.integer({ min: 1, max: 40 }), (sent, partBytes) => {
        const bytes = Buffer.concat(sent.map(encodeFrame));
        const reader = createFrameReader();
        const received: unknown[] = [];
        for (let start = 0; start < bytes.length; start += partBytes) {
          received.push(...reader.push(bytes.subarray(start, start + partBytes)));
        }
        assert.deepEqual(received, sent);
      }),
    );
  });

  it('decodes objects with any property names', () => {
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

  it('decodes an object with the property name __proto__ without a change of its prototype', () => {
    const sent: unknown = JSON.parse('{"kind":1,"__proto__":{"index":[{"__proto__":2,"5":[]}]}}');
    const [received] = createFrameReader().push(encodeFrame(sent));
    assert.equal(JSON.stringify(received), JSON.stringify(sent));
    assert.equal(Object.getPrototypeOf(received), Object.prototype);
  });

  it('keeps the integers of property names, because stored logs depend on them', () => {
    assert.equal(frameKeyMap.kind, 1);
    assert.equal(frameKeyMap.leader, Object.keys(frameKeyMap).length);
    assert.equal(digestOf(JSON.stringify(frameKeyMap)).slice(0, 16), '5cc3f5497d3b1de2');
  });

  it('rejects a frame with any flipped bit in the checksum or the body', () => {
    const frame = encodeFrame([2, 1, 'attempt.fence', { attemptId: 'one', number: 7 }]);
    for (let bit = 32; bit < frame.length * 8; bit += 1) {
      const corrupted = Buffer.from(frame);
      const byteIndex = bit >> 3;
      corrupted[byteIndex] = (corrupted[byteIndex] ?? 0) ^ (1 << (bit & 7));
      assert.throws(() => createFrameReader().push(corrupted), isMalformed);
    }
  });

  it('rejects bodies that are too deep or claim more elements than they have, and reads the next', () => {
    const tooDeep = Buffer.alloc(200_000, 0x81);
    const claimedArray = Buffer.of(0x9a, 0x01, 0xc0, 0x00, 0x00);
    const claimedMap = Buffer.of(0xba, 0x00, 0xf0, 0x00, 0x00);
    const claimedBytes = Buffer.of(0x5a, 0x7f, 0xff, 0xff, 0xff);
    for (const body of [tooDeep, claimedArray, claimedMap, claimedBytes]) {
      const before = process.memoryUsage().heapTotal;
      assert.throws(() => decodeBody(body), isMalformed);
      const grownBytes = process.memoryUsage().heapTotal - before;
      assert.ok(grownBytes < MOST_GROWN_BYTES, `${grownBytes} bytes for a body of ${body.length}`);
      const sound = { kind: 1, index: [2] };
      assert.deepEqual(createFrameReader().push(encodeFrame(sound)), [sound]);
    }
  });

  it('rejects a frame over the size limit before its body arrives', () => {
    const frame = encodeFrame('x'.repeat(100));
    assert.throws(() => createFrameReader(50).push(frame.subarray(0, 8)), isMalformed);
  });

  it('rejects a frame that does not fit into the memory of all connections', () => {
    const budget = createByteBudget(BUDGET_BYTES);
    const frame = encodeFrame(Buffer.alloc(90_000));
    const stalled = createFrameReader(MAXIMUM_FRAME_BYTES, budget);
    stalled.push(frame.subarray(0, 80_000));
    const reader = createFrameReader(MAXIMUM_FRAME_BYTES, budget);
    assert.throws(() => reader.push(frame.subarray(0, 80_000)), isMalformed);
    assert.equal(stalled.push(frame.subarray(80_000)).length, 1);
    assert.ok(budget.tryReserve(BUDGET_BYTES), 'what was reserved is released');
  });
});
