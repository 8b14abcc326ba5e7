import { runReplayTool } from '../dist/src/replayMain.js';

process.exitCode = runReplayTool(process.argv.slice(2));
