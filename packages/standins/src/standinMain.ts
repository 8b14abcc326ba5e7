import { once } from 'node:events';
import { createStandinHost, type StandinHostDescription } from './standinHost.js';

/** Message of the parent that asks for the processor time of this process. */
export const USAGE_QUESTION = 'usage';

const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Processor time of this process so far, in milliseconds. */
export function processorMilliseconds(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / MICROSECONDS_PER_MILLISECOND;
}

/**
 * Runs stand-ins as a process of their own: the description comes as JSON in the first message
 * of the parent process, the URLs go back as a message; the process ends when its parent does.
 */
export async function runStandinProcess(): Promise<void> {
  const [description] = (await once(process, 'message')) as [StandinHostDescription];
  await using host = await createStandinHost(description);
  process.on('message', (question) => {
    if (question === USAGE_QUESTION) process.send?.(processorMilliseconds());
  });
  process.send?.(host.urls);
  await once(process, 'disconnect');
}
