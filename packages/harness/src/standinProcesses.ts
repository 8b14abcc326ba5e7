import { fork } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import { createDisposalStack } from '@burdockrail/common/disposalStack.js';
import {
  createStandinHost,
  type StandinDescription,
  type StandinHost,
  type StandinHostDescription,
} from '@burdockrail/standins/standinHost.js';
import { ownChild } from './daemonProcess.js';

const standinProgram = fileURLToPath(
  new URL('../../bin/standin.js', import.meta.resolve('@burdockrail/standins/standinMain.js')),
);

async function startStandinProcess(description: StandinHostDescription): Promise<StandinHost> {
  const child = fork(standinProgram, { stdio: ['ignore', 'ignore', 'inherit', 'ipc'] });
  ownChild(child);
  child.send(description);
  const [urls] = (await once(child, 'message')) as [Readonly<Record<string, string>>];
  return {
    urls,
    [Symbol.asyncDispose]: async () => {
      const exited = once(child, 'exit');
      child.kill('SIGKILL');
      await exited;
    },
  };
}

/** Store and origin share a catalogue, so they stay in the first process. */
function spread(
  standins: readonly StandinDescription[],
  processes: number,
): readonly (readonly StandinDescription[])[] {
  const groups: StandinDescription[][] = Array.from({ length: processes }, () => []);
  const isWeightSource = ({ kind }: StandinDescription): boolean =>
    kind === 'store' || kind === 'origin';
  groups[0]?.push(...standins.filter(isWeightSource));
  standins
    .filter((standin) => !isWeightSource(standin))
    .forEach((standin, index) => groups[index % processes]?.push(standin));
  return groups.filter((group) => group.length > 0);
}

/** Starts stand-ins in this process (0 processes) or spread over several. */
export async function startStandins(
  description: StandinHostDescription,
  processes: number,
): Promise<StandinHost> {
  if (processes === 0) return createStandinHost(description);
  const owned = createDisposalStack();
  const { versions, standins } = description;
  const started = spread(standins, processes).map(async (group) =>
    owned.use(await startStandinProcess({ versions, standins: group })),
  );
  const hosts = await Promise.all(started);
  const urls = Object.assign({}, ...hosts.map((host) => host.urls)) as Record<string, string>;
  return { urls, [Symbol.asyncDispose]: async () => owned[Symbol.asyncDispose]() };
}
