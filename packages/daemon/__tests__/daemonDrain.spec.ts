import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { EventName } from '@burdockrail/telemetry/eventCatalogue.js';
import { drainRoles } from '../src/daemonDrain.js';

const SHORT_MILLISECONDS = 20;
const LONG_MILLISECONDS = 60_000;

describe('drainRoles', () => {
  it('ends when every role is idle', async () => {
    const events: EventName[] = [];
    const log = { write: (event: EventName) => events.push(event) };
    await drainRoles([{ drain: async () => Promise.resolve() }], LONG_MILLISECONDS, log);
    assert.deepEqual(events, []);
  });

  it('gives up on a role that never becomes idle', async () => {
    const events: EventName[] = [];
    const log = { write: (event: EventName) => events.push(event) };
    const never = { drain: async () => new Promise<void>(() => undefined) };
    await drainRoles([never], SHORT_MILLISECONDS, log);
    assert.deepEqual(events, ['drainCutOff']);
  });
});
