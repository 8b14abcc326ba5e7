import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { eventCatalogue, type EventDescription } from '../src/eventCatalogue.js';

const events: readonly EventDescription[] = Object.values(eventCatalogue);

describe('eventCatalogue', () => {
  it('gives each number to one event', () => {
    const numbers = events.map((event) => event.number);
    const repeated = numbers.filter((number, position) => numbers.indexOf(number) !== position);
    assert.deepEqual(repeated, []);
  });

  it('keeps numbers within the ranges of its families', () => {
    assert.deepEqual(
      events.filter(({ number }) => number < 1_000 || number >= 7_000),
      [],
    );
  });

  it('says what happened in a whole sentence', () => {
    assert.deepEqual(
      events.filter(({ text }) => !/^[A-Z].*\.$/u.test(text)),
      [],
    );
  });
});
