import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { waitUntil } from './waitUntil.js';

/** An event of a process's log. */
export interface LoggedEvent {
  readonly name: string;
  readonly event: number;
  readonly [field: string]: unknown;
}

/** One start of a daemon. */
export interface DaemonProcess extends AsyncDisposable {
  readonly pid: number;
  /** Events that this start has logged so far. */
  readonly events: readonly LoggedEvent[];
  /** Resolves with the exit code, or with the signal's name. */
  readonly exited: Promise<number | string>;
  readonly running: boolean;
  /** Waits for an event of this name, also one that was logged before. */
  event(name: string, boundMilliseconds?: number): Promise<LoggedEvent>;
  signal(signal: NodeJS.Signals): void;
}

const START_BOUND_MILLISECONDS = 20_000;
const LAST_LINES = 20;

const daemonProgram = fileURLToPath(
  new URL('../../bin/burdockraild.js', import.meta.resolve('@burdockrail/daemon/daemonMain.js')),
);

/** Children that are running; they end with this process, whatever ends it. */
const runningChildren = new Set<ChildProcess>();
process.on('exit', () => {
  for (const child of runningChildren) child.kill('SIGKILL');
});

/** Has a child process end with this one. */
export function ownChild(child: ChildProcess): void {
  runningChildren.add(child);
  child.once('exit', () => runningChildren.delete(child));
}

/** Has SIGINT and SIGTERM end this process in a way that ends its children too. */
export function endOnSignals(): void {
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

/** Starts a daemon; resolves when it says that it is ready. */
export async function startDaemonProcess(
  settingsPath: string,
  logPath: string,
): Promise<DaemonProcess> {
  const child = spawn(process.execPath, [daemonProgram, settingsPath], {
    stdio: ['ignore', 'ignore', 'pipe'],
  });
  ownChild(child);
  const events: LoggedEvent[] = [];
  const lastLines: string[] = [];
  const logFile = createWriteStream(logPath, { flags: 'a' });
  const lines = createInterface({ input: child.stderr });
  lines.on('line', (line) => {
    logFile.write(`${line}\n`);
    lastLines.push(line);
    if (lastLines.length > LAST_LINES) lastLines.shift();
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
  const started: DaemonProcess = {
    pid: child.pid ?? 0,
    events,
    exited,
    get running() {
      return running;
    },
    event: async (name, boundMilliseconds) =>
      waitUntil(() => events.find((event) => event.name === name), {
        what: `event ${name} (${logPath})`,
        ...(boundMilliseconds === undefined ? {} : { boundMilliseconds }),
      }),
    signal: (signal) => {
      child.kill(signal);
    },
    [Symbol.asyncDispose]: async () => {
      if (running) child.kill('SIGKILL');
      await exited;
    },
  };
  const early = exited.then((code) => {
    const seen = lastLines.join('\n');
    throw new Error(`the daemon of ${settingsPath} ended (${code}) before it was ready:\n${seen}`);
  });
  early.catch(() => undefined);
  await Promise.race([started.event('processStarted', START_BOUND_MILLISECONDS), early]);
  return started;
}
