import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { formatTimeline, requestTimeline } from '../src/requestTimeline.js';

const ended = (time: string, fields: Readonly<Record<string, unknown>>): string =>
  `  8.1 front-1 ${JSON.stringify({ time, name: 'requestEnded', outcome: 'whole', ...fields })}`;

const FIRST = '2026-01-01T00:00:01.100Z';
const THIRD = '2026-01-01T00:00:03.900Z';

describe('the timeline of requests', () => {
  const lines = [
    'a line of another program',
    'front-1 {"time":"2026-01-01T00:00:01Z","name":"unfinished',
    ended(FIRST, { status: 200, first: 120, objective: 300, pause: 90 }),
    ended(FIRST, { status: 200, first: 320, objective: 300, pause: 90 }),
    ended(FIRST, { status: 200, first: 120, objective: 300, pause: 900 }),
    ended(THIRD, { status: 503, cause: 'full, 7 engines asked' }),
    ended(THIRD, { status: 503, cause: 'full, 3 engines asked' }),
    ended(THIRD, { status: 200, outcome: 'broken' }),
    ended(THIRD, { status: 0, outcome: 'callerLeft' }),
    `side-1 ${JSON.stringify({ time: THIRD, name: 'weightsStaged', version: 2 })}`,
  ];

  it('counts outcomes for each second, and joins causes that differ in numbers', () => {
    const timeline = requestTimeline(lines, 400);
    assert.deepEqual(
      timeline.map(({ counts }) => Object.fromEntries(counts)),
      [
        { 'in time': 1, 'late first event': 1, 'late pause': 1 },
        { '503 full, n engines asked': 2, 'broken off': 1, 'caller left': 1, 'weightsStaged 2': 1 },
      ],
    );
  });

  it('is printed with one column for each outcome, in seconds since the first', () => {
    const rows = formatTimeline(requestTimeline(lines, 400)).trimEnd().split('\n');
    assert.equal(rows.length, 7 + 1 + 2);
    assert.match(rows.at(-2) ?? '', /^ {2}0/u);
    assert.match(rows.at(-1) ?? '', /^ {2}2/u);
  });
});
