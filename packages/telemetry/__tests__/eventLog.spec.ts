import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createEventLog } from '../src/eventLog.js';

const LONG_CHARACTERS = 16_000;

/** Most characters of a line whose fields are long. */
const MAXIMUM_LINE_CHARACTERS = 3_000;

describe('the log of events', () => {
  // Paths and ids of clients stood in the lines whole, some thousand of which may wait.
  it('leaves out the rest of a long field', () => {
    const lines: string[] = [];
    const log = createEventLog({
      process: 'front-1',
      format: 'json',
      level: 'info',
      write: (line) => lines.push(line),
    });
    log.write('requestEnded', {
      request: 'i'.repeat(LONG_CHARACTERS),
      target: 't'.repeat(LONG_CHARACTERS),
      status: 404,
    });
    const [line = ''] = lines;
    assert.ok(line.length < MAXIMUM_LINE_CHARACTERS, `${line.length} characters`);
    const { request, status } = JSON.parse(line) as { request: string; status: number };
    assert.match(request, /^i{1024}…$/u);
    assert.equal(status, 404);
  });
});
