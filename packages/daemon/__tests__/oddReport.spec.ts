import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { EngineClient, EngineLoad } from '../src/engineClient.js';
import { createEngineMonitor } from '../src/engineMonitor.js';

const sound: EngineLoad = {
  running: 1,
  waiting: 0,
  capacity: 4,
  cacheUse: 0.5,
  digest: null,
  adapters: [],
};

const odd: readonly unknown[] = [
  null,
  [],
  { ...sound, running: 'x' },
  { ...sound, capacity: Number.POSITIVE_INFINITY },
  { ...sound, waiting: -1 },
  { ...sound, cacheUse: undefined },
];

describe('an odd load report of an engine', () => {
  for (const load of odd) {
    it(`counts as no answer: ${JSON.stringify(load)}`, async () => {
      const loads: unknown[] = [load, sound];
      const engine = {
        getLoad: async () => Promise.resolve(loads.shift()),
        getEvents: async () => Promise.resolve({ next: 0, events: [] }),
      } as unknown as EngineClient;
      const polled: unknown[] = [];
      let onSecondPoll: () => void = () => undefined;
      const secondPoll = new Promise<void>((resolve) => {
        onSecondPoll = resolve;
      });
      await using monitor = createEngineMonitor(engine, (report) => {
        polled.push(report.load);
        if (polled.length === 2) onSecondPoll();
      });
      await monitor.start();
      await secondPoll;
      assert.deepEqual(polled, [null, sound]);
    });
  }
});
