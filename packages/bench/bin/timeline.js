import { runTimelineTool } from '../dist/src/timelineMain.js';

process.exitCode = await runTimelineTool(process.argv.slice(2));
