import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import { assertGolden, runCommand, sessionOf } from './commandSession.js';

const programs = 'packages/cli/__tests__/programs';

describe('config print and check', () => {
  it('print what the examples declare', async () => {
    const session = await sessionOf([
      ['config', 'check', 'examples/jangadaVapor.ts'],
      ['config', 'print', 'examples/jangadaVapor.ts'],
      ['config', 'check', 'examples/urzadSzlifierstwa.ts', '--json'],
      ['config', 'print', 'examples/urzadSzlifierstwa.ts'],
    ]);
    assertGolden('examples', session);
  });

  it('answer a wrong program with path, expectation and number', async () => {
    const session = await sessionOf([
      ['config', 'check', `${programs}/faulty.mjs`],
      ['config', 'check', `${programs}/misspelt.mjs`],
      ['config', 'check', `${programs}/faulty.mjs`, '--json'],
      ['config', 'print', `${programs}/throwing.mjs`],
      ['config', 'print', `${programs}/withoutFleet.mjs`],
      ['config', 'print', `${programs}/missing.mjs`],
      ['config', 'print', 'README.md'],
      ['config', 'print'],
    ]);
    assertGolden('wrongPrograms', session);
  });

  it('reads its own YAML back to the same digest', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'burdockrail-'));
    try {
      const path = join(folder, 'fleet.yaml');
      const printed = await runCommand(['config', 'print', 'examples/jangadaVapor.ts']);
      writeFileSync(path, printed.standardOutput);
      const again = await runCommand(['config', 'check', path]);
      const first = await runCommand(['config', 'check', 'examples/jangadaVapor.ts']);
      assert.equal(again.standardOutput, first.standardOutput);
    } finally {
      rmSync(folder, { recursive: true });
    }
  });

  it('finds the operator library for a program outside of the workspace', async () => {
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
