import { join } from 'node:path';
import { build, installIfMissing, runOrExit } from './workspace.mjs';

const program = join('packages', 'bench', 'bin', 'timeline.js');

installIfMissing({ quiet: true });
build({ quiet: true });
runOrExit(process.execPath, [program, ...process.argv.slice(2)]);
