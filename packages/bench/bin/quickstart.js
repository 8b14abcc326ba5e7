import { runQuickstart } from '../dist/src/quickstartMain.js';

process.exitCode = await runQuickstart(process.argv.slice(2));
