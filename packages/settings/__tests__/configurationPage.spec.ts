import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { it } from 'node:test';
import { fileURLToPath } from 'node:url';

const script = fileURLToPath(new URL('../../../../scripts/docs.mjs', import.meta.url));

it('docs/CONFIGURATION.md matches the code', () => {
  const result = spawnSync(process.execPath, [script, '--check', 'CONFIGURATION'], {
    encoding: 'utf8',
  });
  assert.equal(result.stderr, '');
  assert.equal(result.status, 0);
});
