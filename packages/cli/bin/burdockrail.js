#!/usr/bin/env node
import { runCommandLine } from '../dist/src/commandLine.js';

await runCommandLine(import.meta.url);
