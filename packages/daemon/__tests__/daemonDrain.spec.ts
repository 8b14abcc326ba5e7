import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { EventName } from '@burdockrail/telemetry/eventCatalogue.js';
import { drainRoles } from '../src/daemonDrain.js';

const SHORT_MILLISECONDS = 20;
const LONG_MILLISECONDS = 60_000;

describe('drainRoles', () => {
  it('resolves once every role has drained', async () => {
    const events: EventName[] = [];
    const log = { write: (event: EventName) => events.push(event) };
    await drainRoles([{ drain: async () => Promise.resolve() }], LONG_MILLISECONDS, log);
    assert.deepEqual(events, []);
  });

  it('stops waiting for a role that never finishes draining', async () => {
    const events: EventName[] = [];
    const log = { write: (event: EventName) => events.push(event) };
    const stuckRole = { drain: async () => new Promise<void>(() => undefined) };
    await drainRoles([stuckRole], SHORT_MILLISECONDS, log);
    assert.deepEqual(events, ['drainCutOff']);
  });
});
