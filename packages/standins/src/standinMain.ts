import { once } from 'node:events';
import { createStandinHost, type StandinHostDescription } from './standinHost.js';

/** Message by which the parent process requests the processor time of this process. */
export const USAGE_REQUEST = 'usage';

const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Processor time of this process so far, in milliseconds. */
export function processorMilliseconds(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / MICROSECONDS_PER_MILLISECOND;
}

/**
 * Runs stand-ins in this process for a parent process.
 *
 * The first message of the parent is a {@link StandinHostDescription}; the reply holds the URLs. The
 * process ends when the parent disconnects.
 */
export async function runStandinProcess(): Promise<void> {
  const [description] = (await once(process, 'message')) as [StandinHostDescription];
  await using host = await createStandinHost(description);
  process.on('message', (message) => {
    if (message === USAGE_REQUEST) process.send?.(processorMilliseconds());
  });
  process.send?.(host.urls);
  await once(process, 'disconnect');
}
