import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import { workspaceRoot } from './commandSession.js';

describe('example of an embedded package', () => {
  it('is quoted verbatim in the README', () => {
    const example = readFileSync(join(workspaceRoot, 'examples', 'embedLedger.ts'), 'utf8');
    const readme = readFileSync(join(workspaceRoot, 'README.md'), 'utf8');
    assert.ok(readme.includes(`\`\`\`ts\n${example}\`\`\`\n`));
    assert.ok(example.trimEnd().split('\n').length <= 10);
  });

  it('grants one attempt and refuses a second', () => {
    const path = join(workspaceRoot, 'examples', 'dist', 'embedLedger.js');
    const result = spawnSync(process.execPath, [path], { encoding: 'utf8' });
    assert.equal(result.stderr, '');
    assert.equal(result.stdout, 'first granted\nresent open\n');
  });
});
