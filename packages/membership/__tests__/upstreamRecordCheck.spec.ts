import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { UpstreamRecord } from '@burdockrail/protocol/protocolDirectory.js';
import fc from 'fast-check';
import { upstreamRecordIssue } from '../src/upstreamRecordCheck.js';

const WALL_TIME = 1_800_000_000_000;
const WEEK_MILLISECONDS = 7 * 24 * 3_600_000;

const sound: UpstreamRecord = {
  id: 'i-7f3a91c2',
  service: 'till',
  address: '10.128.0.9:8080',
  dataCentre: 'north',
  slots: 16,
  state: 'ready',
  startedAt: WALL_TIME - WEEK_MILLISECONDS,
  sequence: 4,
  models: [{ model: 'm', version: 1 }],
};

describe('a record', () => {
  const usable: readonly (readonly [string, Partial<UpstreamRecord>])[] = [
    ['without a start time', { startedAt: 0, sequence: 1_000_000 }],
    ['that has just started, by a clock that is ahead', { startedAt: WALL_TIME + 5_000 }],
    ['without slots or models', { slots: 0, models: [] }],
    ['that is gone', { state: 'gone' }],
    ['at the highest port', { address: '255.255.255.255:65535' }],
    ['at the lowest port', { address: '1.0.0.0:1' }],
    ['after a week of a hundred heartbeats a second', { sequence: WEEK_MILLISECONDS / 10 }],
  ];
  for (const [name, changes] of usable) {
    it(`names an upstream to use: one ${name}`, () => {
      assert.equal(upstreamRecordIssue({ ...sound, ...changes }, WALL_TIME), null);
    });
  }

  const unusable: readonly (readonly [string, Readonly<Record<string, unknown>>])[] = [
    ['a start in the far future', { startedAt: Number.MAX_SAFE_INTEGER }],
    ['a number that nobody can have reached', { sequence: 1_000_000_000_000 }],
    [
      'a number that it cannot have reached in the minute since its start',
      { startedAt: WALL_TIME - 60_000, sequence: 50_000_000 },
    ],
    ['an infinite number', { sequence: Number.POSITIVE_INFINITY }],
    ['slots by the quadrillion', { slots: Number.MAX_SAFE_INTEGER }],
    ['a service of a megabyte', { service: 's'.repeat(1_000_000) }],
    ['an id that no header can carry', { id: 'i\r\nx: 1' }],
    ['an id that is no ASCII', { id: 'ø' }],
    ['an unknown state', { state: 'constructor' }],
    ['a state that is a function', { state: Object }],
    ['models that are no list', { models: { length: 1 } }],
    ['a model that is nothing', { models: [null] }],
    ['thousands of models', { models: Array.from({ length: 5_000 }, () => sound.models[0]) }],
    ['a port over 65535', { address: '10.0.0.1:65536' }],
    ['port 0', { address: '10.0.0.1:0' }],
    ['an octet over 255', { address: '256.0.0.1:80' }],
    ['three octets', { address: '10.0.1:80' }],
    ['a host name', { address: 'localhost:80' }],
  ];
  for (const [name, changes] of unusable) {
    it(`names no upstream to use: one with ${name}`, () => {
      assert.equal(typeof upstreamRecordIssue({ ...sound, ...changes }, WALL_TIME), 'string');
    });
  }

  it('of any shape can be checked', () => {
    fc.assert(
      fc.property(fc.anything({ withNullPrototype: true }), (value) => {
        assert.equal(typeof upstreamRecordIssue(value, WALL_TIME), 'string');
      }),
    );
    const values = fc.anything();
    fc.assert(
      fc.property(fc.constantFrom(...Object.keys(sound)), values, (field, value) => {
        assert.doesNotThrow(() => upstreamRecordIssue({ ...sound, [field]: value }, WALL_TIME));
      }),
    );
  });
});
