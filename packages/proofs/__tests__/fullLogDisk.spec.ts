import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, open, readFile, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import { giveDiskRoom, takeDiskRoom } from '@burdockrail/faultproxy/diskRoom.js';
import { killChildOnExit } from '@burdockrail/harness/daemonProcess.js';

/** Time for which the disk of the log is full, in milliseconds. */
const FULL_MILLISECONDS = 1_200;

const eventLogModule = JSON.stringify(import.meta.resolve('@burdockrail/telemetry/eventLog.js'));
const lineWriterModule = JSON.stringify(
  import.meta.resolve('@burdockrail/telemetry/boundedLineWriter.js'),
);

/** Writes an event to standard error every 50 ms. */
const eventLogProgram = `
  import { createEventLog } from ${eventLogModule};
  const log = createEventLog({ process: 'p', format: 'json', level: 'info' });
  setInterval(() => log.write('processVitals'), 50);
`;

/** Writes lines faster than they are taken, so that the buffer is full at each failed write. */
const lineWriterProgram = `
  import { createBoundedLineWriter } from ${lineWriterModule};
  let now = 0;
  const writer = createBoundedLineWriter(2, () => (now += 1_000));
  const fill = () => {
    for (let count = 0; count < 3_000; count += 1) writer.line('line');
    setImmediate(fill);
  };
  fill();
`;

/** Runs a program whose log file can't be written for a while; resolves with the later lines. */
async function runOnFullDisk(program: string): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), 'log-'));
  const path = join(folder, 'log');
  const file = await open(path, 'w');
  const child = spawn(process.execPath, ['--input-type=module', '--eval', program], {
    stdio: ['ignore', 'ignore', file.fd],
  });
  killChildOnExit(child);
  try {
    await pause(FULL_MILLISECONDS);
    await takeDiskRoom(child.pid ?? 0);
    await pause(FULL_MILLISECONDS);
    assert.equal(child.exitCode, null, 'the process has ended');
    const { length } = await readFile(path);
    await giveDiskRoom(child.pid ?? 0);
    await pause(FULL_MILLISECONDS);
    return (await readFile(path)).subarray(length).toString();
  } finally {
    const exit = once(child, 'exit');
    if (child.kill('SIGKILL')) await exit;
    await file.close();
    await rm(folder, { recursive: true });
  }
}

describe('a log in a file on a disk that is full for a while', () => {
  it('does not end its process and tells how many lines were lost', async () => {
    const later = await runOnFullDisk(eventLogProgram);
    assert.match(later, /"name":"logLinesLost","level":"warn","lines":\d+/u);
    assert.match(later, /"name":"processVitals"/u);
  });

  it('goes on although the buffer was full when a write failed', async () => {
    assert.match(await runOnFullDisk(lineWriterProgram), /line/u);
  });
});
