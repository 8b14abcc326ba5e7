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
const FULL_MILLISECONDS = 500;

/** Writes an event to standard error every 50 ms. */
const program = `
  import { createEventLog } from ${JSON.stringify(import.meta.resolve('@burdockrail/telemetry/eventLog.js'))};
  const log = createEventLog({ process: 'p', format: 'json', level: 'info' });
  setInterval(() => log.write('processVitals'), 50);
`;

async function countLines(path: string): Promise<number> {
  return (await readFile(path, 'utf8')).split('\n').length - 1;
}

describe('a log in a file on a disk that is full for a while', () => {
  it('does not end its process and goes on once the disk has room', async () => {
    const folder = await mkdtemp(join(tmpdir(), 'log-'));
    const path = join(folder, 'log');
    const file = await open(path, 'w');
    const child = spawn(process.execPath, ['--input-type=module', '--eval', program], {
      stdio: ['ignore', 'ignore', file.fd],
    });
    killChildOnExit(child);
    try {
      await pause(2 * FULL_MILLISECONDS);
      await takeDiskRoom(child.pid ?? 0);
      await pause(FULL_MILLISECONDS);
      assert.equal(child.exitCode, null, 'the process has ended');
      const before = await countLines(path);
      await giveDiskRoom(child.pid ?? 0);
      await pause(FULL_MILLISECONDS);
      assert.ok((await countLines(path)) > before);
      assert.match(
        await readFile(path, 'utf8'),
        /"name":"logLinesLost","level":"warn","lines":\d+/u,
      );
    } finally {
      const exit = once(child, 'exit');
      if (child.kill('SIGKILL')) await exit;
      await file.close();
      await rm(folder, { recursive: true });
    }
  });
});
