import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import { assertGolden, runCommand, runSession } from './commandSession.js';

const programs = 'packages/cli/__tests__/programs';

describe('config print and check', () => {
  it('print the configurations of the examples', async () => {
    const transcript = await runSession([
      ['config', 'check', 'examples/jangadaVapor.ts'],
      ['config', 'print', 'examples/jangadaVapor.ts'],
      ['config', 'check', 'examples/urzadSzlifierstwa.ts', '--json'],
      ['config', 'print', 'examples/urzadSzlifierstwa.ts'],
    ]);
    assertGolden('examples', transcript);
  });

  it('report each error in a program with its path, expected value and result code', async () => {
    const transcript = await runSession([
      ['config', 'check', `${programs}/faulty.mjs`],
      ['config', 'check', `${programs}/misspelt.mjs`],
      ['config', 'check', `${programs}/faulty.mjs`, '--json'],
      ['config', 'print', `${programs}/throwing.mjs`],
      ['config', 'print', `${programs}/withoutFleet.mjs`],
      ['config', 'print', `${programs}/missing.mjs`],
      ['config', 'print', 'README.md'],
      ['config', 'print'],
    ]);
    assertGolden('wrongPrograms', transcript);
  });

  it('reads printed YAML back with the same digest', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'burdockrail-'));
    try {
      const path = join(folder, 'fleet.yaml');
      const printed = await runCommand(['config', 'print', 'examples/jangadaVapor.ts']);
      writeFileSync(path, printed.standardOutput);
      const reread = await runCommand(['config', 'check', path]);
      const original = await runCommand(['config', 'check', 'examples/jangadaVapor.ts']);
      assert.equal(reread.standardOutput, original.standardOutput);
    } finally {
      rmSync(folder, { recursive: true });
    }
  });

  it('resolves the operator library for a program outside of the workspace', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'burdockrail-'));
    try {
      const path = join(folder, 'fleet.mts');
      const text = [
        `import { defineFleet } from '@burdockrail/operator/defineFleet.js';`,
        `import { dataCentre } from '@burdockrail/operator/dataCentre.js';`,
        `const name: string = 'harbour';`,
        `const dataCentres = [dataCentre('north', { region: 'coast' })];`,
        `export default defineFleet({ name, dataCentres, services: [], teams: [] });`,
      ].join('\n');
      writeFileSync(path, text);
      const result = await runCommand(['config', 'check', path]);
      assert.equal(result.standardError, '');
      assert.match(result.standardOutput, /^valid: fleet harbour/u);
    } finally {
      rmSync(folder, { recursive: true });
    }
  });
});
