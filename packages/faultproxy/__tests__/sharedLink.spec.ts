import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createEventQueue } from '../src/eventQueue.js';
import { createSharedLink } from '../src/sharedLink.js';

const BYTES_PER_SECOND = 512 * 1024;
const SLICE_BYTES = 1_024;
const BULK_FLOWS = 40;
const SHORT_MESSAGES = 8;
const SHORT_MESSAGE_BYTES = 100;

describe('createSharedLink', () => {
  it('transmits a flow of short messages within one round among many bulk flows', async () => {
    const now = performance.now();
    const link = createSharedLink(
      BYTES_PER_SECOND,
      createEventQueue({ now: () => performance.now() }),
    );
    const transmissions: Promise<number>[] = [];
    const submit = (flow: object, bytes: number): void => {
      transmissions.push(
        new Promise((resolve) => {
          link.submit(flow, bytes, now, resolve);
        }),
      );
    };
    for (let flow = 0; flow < BULK_FLOWS; flow += 1) {
      const bulkFlow = {};
      for (let slice = 0; slice < 4; slice += 1) submit(bulkFlow, SLICE_BYTES);
    }
    const firstShortIndex = transmissions.length;
    const shortMessageFlow = {};
    for (let message = 0; message < SHORT_MESSAGES; message += 1)
      submit(shortMessageFlow, SHORT_MESSAGE_BYTES);
    const times = await Promise.all(transmissions);
    const roundMilliseconds = (((BULK_FLOWS + 1) * SLICE_BYTES) / BYTES_PER_SECOND) * 1_000;
    const lastShortMilliseconds = Math.max(...times.slice(firstShortIndex)) - now;
    assert.ok(
      lastShortMilliseconds <= roundMilliseconds + 5,
      `${lastShortMilliseconds} ms of ${roundMilliseconds}`,
    );
    const totalMilliseconds =
      ((BULK_FLOWS * 4 * SLICE_BYTES + SHORT_MESSAGES * SHORT_MESSAGE_BYTES) / BYTES_PER_SECOND) *
      1_000;
    assert.ok(
      Math.abs(Math.max(...times) - now - totalMilliseconds) < 1,
      'the total rate equals the link rate',
    );
  });

  it('keeps its rate for slices that are already overdue when they are submitted', async () => {
    const lateMilliseconds = 10_000;
    const link = createSharedLink(
      BYTES_PER_SECOND,
      createEventQueue({ now: () => lateMilliseconds }),
    );
    const flow = {};
    const times = await Promise.all(
      Array.from(
        { length: 20 },
        async () =>
          new Promise<number>((resolve) => {
            link.submit(flow, SLICE_BYTES, 0, resolve);
          }),
      ),
    );
    const sliceMilliseconds = (SLICE_BYTES / BYTES_PER_SECOND) * 1_000;
    times.forEach((at, index) => {
      assert.ok(at >= (index + 1) * sliceMilliseconds - 1e-6, `slice ${index} at ${at} ms`);
    });
  });
});
