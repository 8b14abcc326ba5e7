import { write, writeSync } from 'node:fs';

/** Maximum number of lines buffered while the output is blocked. */
const MAXIMUM_PENDING_LINES = 2_000;

/** Maximum number of lines accepted per second. */
const MAXIMUM_LINES_PER_SECOND = 400;

/** Time for which lines are batched into one write, in milliseconds. */
const FLUSH_DELAY_MILLISECONDS = 400;

const MILLISECONDS_PER_SECOND = 1_000;

/** Line writer that never blocks the process on a slow reader. */
export interface BoundedLineWriter {
  readonly line: (text: string) => void;
  /** Number of lines dropped because of the limits, plus failed writes. */
  readonly dropped: number;
  /** Writes the buffered lines synchronously, for use at process exit. */
  flush(): void;
}

/**
 * Creates a writer for a file descriptor.
 *
 * @remarks
 * In Node, synchronous writes to a full pipe block the process. Here one asynchronous write at a
 * time runs on Node's thread pool, and lines that arrive meanwhile are buffered up to a limit.
 */
export function createBoundedLineWriter(
  descriptor: number,
  now: () => number = () => performance.now(),
): BoundedLineWriter {
  let pending: string[] = [];
  let dropped = 0;
  let writing = false;
  let secondStartedAt = now();
  let linesInSecond = 0;

  const takePending = (): Buffer => {
    const text = pending.join('');
    pending = [];
    return Buffer.from(text);
  };

  const writeAll = (bytes: Buffer): void => {
    write(descriptor, bytes, (error, written) => {
      const remaining = error === null ? bytes.subarray(written) : Buffer.alloc(0);
      if (remaining.length > 0) {
        writeAll(remaining);
        return;
      }
      writing = false;
      // A reader that closes must not end this process, so a failed write only counts as a drop.
      if (error !== null) dropped += 1;
      if (pending.length > 0) schedule();
    });
  };

  const schedule = (): void => {
    if (writing) return;
    writing = true;
    setTimeout(() => {
      writeAll(takePending());
    }, FLUSH_DELAY_MILLISECONDS).unref();
  };

  const isWithinRateLimit = (): boolean => {
    const currentTime = now();
    if (currentTime - secondStartedAt >= MILLISECONDS_PER_SECOND) {
      secondStartedAt = currentTime;
      linesInSecond = 0;
    }
    linesInSecond += 1;
    return linesInSecond <= MAXIMUM_LINES_PER_SECOND;
  };

  return {
    get dropped() {
      return dropped;
    },
    line: (text) => {
      if (pending.length >= MAXIMUM_PENDING_LINES || !isWithinRateLimit()) {
        dropped += 1;
        return;
      }
      pending.push(`${text}\n`);
      schedule();
    },
    flush: () => {
      if (pending.length === 0) return;
      try {
        writeSync(descriptor, takePending());
      } catch {
        // The process is exiting and its output is unreadable, so the error cannot be reported.
        dropped += 1;
      }
    },
  };
}
