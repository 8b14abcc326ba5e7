import { runFaultProxyProcess } from '../dist/src/faultProxyProcess.js';

await runFaultProxyProcess();
process.exit(0);
