import { mkdirSync } from 'node:fs';
import { join } from 'node:path';

import { build, installIfMissing, workspaceRoot } from './workspace.mjs';

// Bundles the platform's program into one file, which loads faster than separate modules.
installIfMissing();
build();
const { build: bundle } = await import('esbuild');
const plainAssert = join(workspaceRoot, 'scripts', 'plainAssert.cjs');
mkdirSync(join(workspaceRoot, 'target'), { recursive: true });
await bundle({
  entryPoints: [join(workspaceRoot, 'platform', 'dist', 'src', 'platformMain.js')],
  outfile: join(workspaceRoot, 'target', 'burdockrail.mjs'),
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minify: true,
  keepNames: true,
  legalComments: 'none',
  alias: { assert: plainAssert, 'node:assert': plainAssert },
  banner: {
    js: "import { createRequire as makeRequire } from 'node:module'; const require = makeRequire(import.meta.url);",
  },
});
