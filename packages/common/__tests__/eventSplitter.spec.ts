import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { createEventSplitter } from '../src/eventSplitter.js';

const RUNS = { numRuns: 300, seed: 37 };
const KIBIBYTE = 1024;

/** Splits a body that arrives in parts; also returns what `end` says. */
function split(parts: readonly Uint8Array[], maximumBytes = 64 * KIBIBYTE) {
  const splitter = createEventSplitter({ maximumBytes });
  const events: string[] = [];
  let isWithinLimits = true;
  for (const part of parts) {
    isWithinLimits &&= splitter.push(part, (event) => {
      events.push(event.toString('latin1'));
      return true;
    });
  }
  return { events, isWithinLimits, end: splitter.end()?.toString('latin1') ?? null };
}

function singleBytes(text: string): readonly Uint8Array[] {
  return [...Buffer.from(text, 'latin1')].map((byte) => Uint8Array.of(byte));
}

describe('the events of a body', () => {
  it('are complete and do not depend on how the bytes are cut', () => {
    const text = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n\n\nid: 3\ndata: c\n\r\nid: 4';
    const whole = split([Buffer.from(text)]);
    assert.deepEqual(whole.events, [
      'id: 1\ndata: a\n\n',
      'id: 2\r\ndata: b\r\n\r\n',
      '\n\nid: 3\ndata: c\n\r\n',
    ]);
    assert.equal(whole.end, null);
    const cuts = fc.array(fc.integer({ min: 1, max: text.length - 1 }));
    fc.assert(
      fc.property(cuts, (offsets) => {
        const ends = [...new Set(offsets), text.length].sort((left, right) => left - right);
        const parts = ends.map((end, index) =>
          Buffer.from(text.slice(index === 0 ? 0 : ends[index - 1], end)),
        );
        assert.deepEqual(split(parts), whole);
      }),
      RUNS,
    );
  });

  it('are the same in single bytes as in one part, for any text', () => {
    const pieces = fc.constantFrom('\n', '\r', 'a', 'id: 1', '\n\n', '\r\n');
    fc.assert(
      fc.property(fc.array(pieces, { maxLength: 60 }), (chosen) => {
        const text = chosen.join('');
        const whole = split([Buffer.from(text)]);
        assert.deepEqual(split(singleBytes(text)), whole);
        if (whole.end !== null) assert.equal(whole.events.join('') + whole.end, text);
      }),
      RUNS,
    );
  });

  it('do not include blank lines alone, which belong to the next event or to the end', () => {
    assert.deepEqual(split(singleBytes('\n\n\r\n')), {
      events: [],
      isWithinLimits: true,
      end: '\n\n\r\n',
    });
  });

  it('end at the limit, in whichever parts an endless event or endless blank lines come', () => {
    for (const byte of ['x', '\n']) {
      const text = byte.repeat(2 * KIBIBYTE);
      for (const parts of [singleBytes(text), [Buffer.from(text)]])
        assert.equal(split(parts, KIBIBYTE).isWithinLimits, false);
    }
  });

  it('cost no more than half a second of processor time for 256 KiB in single bytes', () => {
    const text = 'x'.repeat(256 * KIBIBYTE - 1);
    const parts = singleBytes(text);
    const before = process.cpuUsage();
    split(parts, 256 * KIBIBYTE);
    const { user, system } = process.cpuUsage(before);
    assert.ok(user + system < 500_000, `${user + system} microseconds`);
  });

  it('stop where the reader of them says so', () => {
    const splitter = createEventSplitter({ maximumBytes: KIBIBYTE });
    let events = 0;
    const isWithinLimits = splitter.push(Buffer.from('a\n\nb\n\n'), () => {
      events += 1;
      return false;
    });
    assert.deepEqual({ isWithinLimits, events }, { isWithinLimits: true, events: 1 });
  });
});
