import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { eventCatalogue, type EventDescription } from '../src/eventCatalogue.js';

const events: readonly EventDescription[] = Object.values(eventCatalogue);

describe('eventCatalogue', () => {
  it('uses each number for only one event', () => {
    const numbers = events.map((event) => event.number);
    const duplicates = numbers.filter((number, index) => numbers.indexOf(number) !== index);
    assert.deepEqual(duplicates, []);
  });

  it('keeps all numbers within the documented ranges', () => {
    assert.deepEqual(
      events.filter(({ number }) => number < 1_000 || number >= 7_000),
      [],
    );
  });

  it('describes each event in a full sentence', () => {
    assert.deepEqual(
      events.filter(({ text }) => !/^[A-Z].*\.$/u.test(text)),
      [],
    );
  });
});
