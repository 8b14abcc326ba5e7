import { write, writeSync } from 'node:fs';

/** Lines held at most while the output takes none. */
const MAXIMUM_HELD_LINES = 2_000;

/** Lines written at most in each second. */
const MAXIMUM_LINES_PER_SECOND = 400;

/** Time for which lines are collected into one write, in milliseconds. */
const FLUSH_MILLISECONDS = 400;

const SECOND_MILLISECONDS = 1_000;

/** Writes lines without ever waiting for whoever reads them. */
export interface BoundedLines {
  readonly line: (text: string) => void;
  /** Lines that were left out because there were too many. */
  readonly dropped: number;
  /** Writes what is held at once, for the end of a process. */
  flush(): void;
}

/**
 * Creates a writer for a file descriptor.
 *
 * @remarks
 * Writes to a pipe hold up a process in Node while the pipe is full. Here one write at a time runs
 * on a thread of its own, and lines that come meanwhile are held up to a bound.
 */
export function createBoundedLines(
  descriptor: number,
  now: () => number = () => performance.now(),
): BoundedLines {
  let held: string[] = [];
  let dropped = 0;
  let writing = false;
  let secondStart = now();
  let inSecond = 0;

  const takeAll = (): Buffer => {
    const text = held.join('');
    held = [];
    return Buffer.from(text);
  };

  const send = (bytes: Buffer): void => {
    write(descriptor, bytes, (error, written) => {
      const rest = error === null ? bytes.subarray(written) : Buffer.alloc(0);
      if (rest.length > 0) {
        send(rest);
        return;
      }
      writing = false;
      // A reader that has gone away takes no more lines; the work itself goes on.
      if (error !== null) dropped += 1;
      else if (held.length > 0) schedule();
    });
  };

  const schedule = (): void => {
    if (writing) return;
    writing = true;
    setTimeout(() => {
      send(takeAll());
    }, FLUSH_MILLISECONDS).unref();
  };

  const isWithinRate = (): boolean => {
    const present = now();
    if (present - secondStart >= SECOND_MILLISECONDS) {
      secondStart = present;
      inSecond = 0;
    }
    inSecond += 1;
    return inSecond <= MAXIMUM_LINES_PER_SECOND;
  };

  return {
    get dropped() {
      return dropped;
    },
    line: (text) => {
      if (held.length >= MAXIMUM_HELD_LINES || !isWithinRate()) {
        dropped += 1;
        return;
      }
      held.push(`${text}\n`);
      schedule();
    },
    flush: () => {
      if (held.length === 0) return;
      try {
        writeSync(descriptor, takeAll());
      } catch {
        // The process ends and nobody reads its output: there is nowhere left to report this.
        dropped += 1;
      }
    },
  };
}
