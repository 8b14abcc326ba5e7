import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createEventQueue } from '../src/eventQueue.js';
import { createRateBucket } from '../src/rateBucket.js';

const RATE = 512 * 1024;
const FULL_SLICE = 1_024;
const BULK_FLOWS = 40;
const SHORT_MESSAGES = 8;
const SHORT_BYTES = 100;

describe('createRateBucket', () => {
  it('passes a flow of short messages in one turn among many full ones', async () => {
    const now = performance.now();
    const bucket = createRateBucket(RATE, createEventQueue({ now: () => performance.now() }));
    const passed: Promise<number>[] = [];
    const submit = (flow: object, bytes: number): void => {
      passed.push(
        new Promise((resolve) => {
          bucket.submit(flow, bytes, now, resolve);
        }),
      );
    };
    for (let flow = 0; flow < BULK_FLOWS; flow += 1) {
      const bulk = {};
      for (let slice = 0; slice < 4; slice += 1) submit(bulk, FULL_SLICE);
    }
    const firstShort = passed.length;
    const talk = {};
    for (let message = 0; message < SHORT_MESSAGES; message += 1) submit(talk, SHORT_BYTES);
    const times = await Promise.all(passed);
    const oneRound = (((BULK_FLOWS + 1) * FULL_SLICE) / RATE) * 1_000;
    const lastShort = Math.max(...times.slice(firstShort)) - now;
    assert.ok(lastShort <= oneRound + 5, `${lastShort} ms of ${oneRound}`);
    const whole = ((BULK_FLOWS * 4 * FULL_SLICE + SHORT_MESSAGES * SHORT_BYTES) / RATE) * 1_000;
    assert.ok(Math.abs(Math.max(...times) - now - whole) < 1, 'the rate is kept');
  });
});
