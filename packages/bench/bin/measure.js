import { runMeasure } from '../dist/src/measureMain.js';

process.exitCode = await runMeasure(process.argv.slice(2));
