import { once } from 'node:events';
import { createStandinHost, type StandinHostDescription } from './standinHost.js';

/**
 * Runs stand-ins as a process of their own: the description comes as JSON in the first message
 * of the parent process, the URLs go back as a message; the process ends when its parent does.
 */
export async function runStandinProcess(): Promise<void> {
  const [description] = (await once(process, 'message')) as [StandinHostDescription];
  await using host = await createStandinHost(description);
  process.send?.(host.urls);
  await once(process, 'disconnect');
}
