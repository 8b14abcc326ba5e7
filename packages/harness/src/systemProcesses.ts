import { mkdir, rm, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { startDaemonProcess, type DaemonProcess } from './daemonProcess.js';
import { settingsDocument, type PlacedMachine } from './settingsDocument.js';
import type { SystemPlacement } from './systemPlacement.js';
import type { SystemLayout } from './systemLayout.js';

/** The daemons of a system, by machine name. */
export interface SystemProcesses extends AsyncDisposable {
  /** The most recently started daemon of a machine. */
  process(name: string): DaemonProcess;
  /** Starts a daemon; `launcher` is a command that starts the program after it. */
  start(name: string, launcher?: readonly string[]): Promise<DaemonProcess>;
  /** Kills a daemon (SIGKILL). */
  kill(name: string): Promise<void>;
  /** Has a daemon drain and exit (SIGTERM); resolves with its exit code. */
  stop(name: string): Promise<number | string>;
  /** Suspends a daemon (SIGSTOP). */
  pause(name: string): void;
  /** Resumes a suspended daemon (SIGCONT). */
  resume(name: string): void;
  /** Starts a daemon again with the same settings, after killing it if it is running. */
  restart(name: string): Promise<DaemonProcess>;
  /** Empties the data folder of a stopped daemon. */
  clearDataFolder(name: string): Promise<void>;
  logPath(name: string): string;
  readonly names: readonly string[];
}

/** Writes the settings of all machines without starting a daemon. */
export async function createSystemProcesses(
  placement: SystemPlacement,
  layout: SystemLayout,
  folder: string,
): Promise<SystemProcesses> {
  const { machines, urls } = placement;
  const processes = new Map<string, DaemonProcess>();
  const settingsPath = (name: string): string => join(folder, `${name}.yaml`);
  const logPath = (name: string): string => join(folder, `${name}.log`);
  const dataFolder = (name: string): string =>
    machines.find((machine) => machine.name === name)?.dataFolder ?? join(folder, name);

  const writeSettings = async (machine: PlacedMachine): Promise<void> => {
    const text = settingsDocument(machine, machines, layout, urls);
    await writeFile(settingsPath(machine.name), text);
    if (machine.roles.includes('control')) await mkdir(machine.dataFolder, { recursive: true });
  };
  await Promise.all(machines.map(writeSettings));

  const find = (name: string): DaemonProcess => {
    const found = processes.get(name);
    if (found === undefined) throw new Error(`no daemon has been started on machine ${name}`);
    return found;
  };
  const start = async (name: string, launcher: readonly string[] = []): Promise<DaemonProcess> => {
    const started = startDaemonProcess(settingsPath(name), logPath(name), launcher);
    processes.set(name, started);
    await started.ready;
    return started;
  };
  const kill = async (name: string): Promise<void> => find(name)[Symbol.asyncDispose]();

  return {
    process: find,
    start,
    kill,
    stop: async (name) => {
      find(name).signal('SIGTERM');
      return find(name).exited;
    },
    pause: (name) => {
      find(name).signal('SIGSTOP');
    },
    resume: (name) => {
      find(name).signal('SIGCONT');
    },
    restart: async (name) => {
      await kill(name);
      return start(name);
    },
    clearDataFolder: async (name) => {
      if (find(name).running)
        throw new Error(`cannot clear the data folder of ${name} while it is running`);
      await rm(dataFolder(name), { recursive: true, force: true });
      await mkdir(dataFolder(name), { recursive: true });
    },
    logPath,
    names: machines.map(({ name }) => name),
    [Symbol.asyncDispose]: async () => {
      await Promise.all([...processes.values()].map(async (entry) => entry[Symbol.asyncDispose]()));
    },
  };
}
