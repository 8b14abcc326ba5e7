import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { describe, it } from 'node:test';

const modulePath = new URL('../src/stopSignal.js', import.meta.url).href;

/** Waits for a stop signal, then drains for some time. */
const program = `
  import { receiveStopSignal } from '${modulePath}';
  const keepAlive = setInterval(() => {}, 1_000);
  const stopping = receiveStopSignal(process, () => {});
  console.log('ready');
  console.log(await stopping);
  setTimeout(() => { console.log('drained'); clearInterval(keepAlive); }, 300);
`;

async function signalTwice(signal: NodeJS.Signals): Promise<readonly unknown[]> {
  const child = spawn(process.execPath, ['--input-type=module', '-e', program]);
  const exited = once(child, 'exit');
  let output = '';
  child.stdout.on('data', (bytes: Buffer) => {
    output += bytes.toString();
    // Once when it is ready, and once when it has named the first one.
    if (/^(?:ready\n)$|SIG\w+\n$/u.test(output)) child.kill(signal);
  });
  const [code, endedBy] = (await exited) as readonly unknown[];
  return [code, endedBy, output];
}

describe('a process that is asked to stop', () => {
  it('drains to the end though SIGTERM comes again', async () => {
    assert.deepEqual(await signalTwice('SIGTERM'), [0, null, 'ready\nSIGTERM\ndrained\n']);
  });

  it('ends at once at a second SIGINT', async () => {
    assert.deepEqual(await signalTwice('SIGINT'), [null, 'SIGINT', 'ready\nSIGINT\n']);
  });
});
