import { runStandinProcess } from '../dist/src/standinMain.js';

await runStandinProcess();
