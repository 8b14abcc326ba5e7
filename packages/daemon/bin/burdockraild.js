#!/usr/bin/env node
import { runDaemon } from '../dist/src/daemonMain.js';

process.exitCode = await runDaemon(process.argv.slice(2));
