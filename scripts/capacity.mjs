import { join } from 'node:path';
import { build, installIfMissing, runOrExit } from './workspace.mjs';

installIfMissing();
build();
const program = join('packages', 'bench', 'dist', 'src', 'capacityMain.js');
runOrExit(process.execPath, ['--expose-gc', program, ...process.argv.slice(2)]);
