import { fork } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import { createDisposalStack } from '@burdockrail/common/disposalStack.js';
import {
  createStandinHost,
  type StandinDescription,
  type StandinHostDescription,
} from '@burdockrail/standins/standinHost.js';
import { USAGE_REQUEST } from '@burdockrail/standins/standinMain.js';
import { killChildOnExit } from './daemonProcess.js';

/** Running stand-ins, in this process or in child processes. */
export interface RunningStandins extends AsyncDisposable {
  /** URL of each stand-in by its name. */
  readonly urls: Readonly<Record<string, string>>;
  /** CPU time of the stand-ins' child processes, in milliseconds; 0 when there are none. */
  processorMilliseconds(): Promise<number>;
}

const standinProgram = fileURLToPath(
  new URL('../../bin/standin.js', import.meta.resolve('@burdockrail/standins/standinMain.js')),
);

async function startStandinProcess(description: StandinHostDescription): Promise<RunningStandins> {
  const child = fork(standinProgram, { stdio: ['ignore', 'ignore', 'inherit', 'ipc'] });
  killChildOnExit(child);
  child.send(description);
  const [urls] = (await once(child, 'message')) as [Readonly<Record<string, string>>];
  return {
    urls,
    processorMilliseconds: async () => {
      const reply = once(child, 'message');
      child.send(USAGE_REQUEST);
      return ((await reply) as [number])[0];
    },
    [Symbol.asyncDispose]: async () => {
      const exited = once(child, 'exit');
      child.kill('SIGKILL');
      await exited;
    },
  };
}

/** Distributes stand-ins over processes; store and origin share a catalogue, so both go to the first. */
function distributeStandins(
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

/** Starts stand-ins in this process (0 processes) or distributed over child processes. */
export async function startStandins(
  description: StandinHostDescription,
  processes: number,
): Promise<RunningStandins> {
  if (processes === 0) {
    const host = await createStandinHost(description);
    return { ...host, processorMilliseconds: async () => Promise.resolve(0) };
  }
  const disposables = createDisposalStack();
  const { versions, standins } = description;
  const started = distributeStandins(standins, processes).map(async (group) =>
    disposables.use(await startStandinProcess({ versions, standins: group })),
  );
  const hosts = await Promise.all(started);
  const urls = Object.assign({}, ...hosts.map((host) => host.urls)) as Record<string, string>;
  return {
    urls,
    processorMilliseconds: async () => {
      const each = await Promise.all(hosts.map(async (host) => host.processorMilliseconds()));
      return each.reduce((sum, milliseconds) => sum + milliseconds, 0);
    },
    [Symbol.asyncDispose]: async () => disposables[Symbol.asyncDispose](),
  };
}
