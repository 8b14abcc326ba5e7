import { runLoadTool } from '../dist/src/loadMain.js';

process.exitCode = await runLoadTool(process.argv.slice(2));
