import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { describe, it } from 'node:test';
import { fileURLToPath } from 'node:url';

/** Time within which a process whose stand-ins are closed has ended, in milliseconds. */
const EXIT_MILLISECONDS = 10_000;

describe('a stand-in that is closed', () => {
  it('lets its process end although a connection was shutting down', async () => {
    const program = fileURLToPath(new URL('closeDuringShutdown.js', import.meta.url));
    const child = spawn(process.execPath, [program], { stdio: ['ignore', 'ignore', 'inherit'] });
    const deadline = setTimeout(() => child.kill('SIGKILL'), EXIT_MILLISECONDS);
    const [code, signal] = (await once(child, 'exit')) as [number | null, string | null];
    clearTimeout(deadline);
    assert.deepEqual({ code, signal }, { code: 0, signal: null });
  });
});
