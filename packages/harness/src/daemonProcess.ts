import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { waitUntil, waitUntilTrue } from './waitUntil.js';

/** An event in a process's JSON log. */
export interface LoggedEvent {
  readonly name: string;
  readonly event: number;
  readonly [field: string]: unknown;
}

/** A started daemon; a restart creates another. */
export interface DaemonProcess extends AsyncDisposable {
  readonly pid: number;
  /** Resolves when the daemon has logged that it started; rejects if it exits before or is late. */
  readonly ready: Promise<void>;
  /** Events logged so far since this start. */
  readonly events: readonly LoggedEvent[];
  /** Resolves with the exit code, or with the name of the signal that ended the process. */
  readonly exited: Promise<number | string>;
  readonly running: boolean;
  /** Waits for an event of this name; resolves at once if it was already logged. */
  waitForEvent(name: string, timeoutMilliseconds?: number): Promise<LoggedEvent>;
  signal(signal: NodeJS.Signals): void;
}

const START_TIMEOUT_MILLISECONDS = 20_000;
const LOG_TAIL_LINES = 20;

const daemonProgram = fileURLToPath(
  new URL('../../bin/burdockraild.js', import.meta.resolve('@burdockrail/daemon/daemonMain.js')),
);

/** Running child processes, killed when this process exits. */
const runningChildren = new Set<ChildProcess>();
process.on('exit', () => {
  for (const child of runningChildren) child.kill('SIGKILL');
});

/** Kills a child process when this process exits. */
export function killChildOnExit(child: ChildProcess): void {
  runningChildren.add(child);
  child.once('exit', () => runningChildren.delete(child));
}

/** Exits on SIGINT and SIGTERM, so that the exit handler kills the child processes. */
export function exitOnSignals(): void {
  for (const signal of ['SIGINT', 'SIGTERM'] as const) {
    process.once(signal, () => {
      process.exit(1);
    });
  }
}

function parseEvent(line: string): LoggedEvent | undefined {
  if (!line.startsWith('{')) return undefined;
  try {
    return JSON.parse(line) as LoggedEvent;
  } catch {
    return undefined;
  }
}

/** Starts a daemon; `launcher` is a command that starts the program after it. */
export function startDaemonProcess(
  settingsPath: string,
  logPath: string,
  launcher: readonly string[] = [],
): DaemonProcess {
  const [command, ...words] = [...launcher, process.execPath, daemonProgram, settingsPath];
  const child = spawn(command, words, {
    stdio: ['ignore', 'ignore', 'pipe'],
  });
  killChildOnExit(child);
  const events: LoggedEvent[] = [];
  const logTail: string[] = [];
  const logFile = createWriteStream(logPath, { flags: 'a' });
  const lines = createInterface({ input: child.stderr });
  lines.on('line', (line) => {
    logFile.write(`${line}\n`);
    logTail.push(line);
    if (logTail.length > LOG_TAIL_LINES) logTail.shift();
    const event = parseEvent(line);
    if (event !== undefined) events.push(event);
  });
  let running = true;
  const exited = new Promise<number | string>((resolve) => {
    child.once('exit', (code, signal) => {
      running = false;
      logFile.end();
      resolve(signal ?? code ?? 0);
    });
  });
  const findEvent = (name: string): LoggedEvent | undefined =>
    events.find((event) => event.name === name);
  const waitUntilReady = async (): Promise<void> => {
    await waitUntilTrue(() => findEvent('processStarted') !== undefined || !running, {
      description: `start with ${settingsPath} (${logPath})`,
      timeoutMilliseconds: START_TIMEOUT_MILLISECONDS,
    });
    if (running) return;
    const tail = logTail.join('\n');
    throw new Error(
      `daemon with ${settingsPath} exited (${await exited}) before it was ready:\n${tail}`,
    );
  };
  const ready = waitUntilReady();
  // Whoever ends a daemon during its start may not be interested in the outcome.
  ready.catch(() => undefined);
  return {
    pid: child.pid ?? 0,
    ready,
    events,
    exited,
    get running() {
      return running;
    },
    waitForEvent: async (name, timeoutMilliseconds) =>
      waitUntil(() => findEvent(name), {
        description: `event ${name} (${logPath})`,
        ...(timeoutMilliseconds === undefined ? {} : { timeoutMilliseconds }),
      }),
    signal: (signal) => {
      child.kill(signal);
    },
    [Symbol.asyncDispose]: async () => {
      if (running) child.kill('SIGKILL');
      await exited;
    },
  };
}
