import { createReadStream, type ReadStream } from 'node:fs';
import { open, type FileHandle } from 'node:fs/promises';
import { createInterface } from 'node:readline';
import { setTimeout } from 'node:timers/promises';
import { ResultError } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';

/** Interval at which a followed file is checked for new data. */
const POLL_INTERVAL_MILLISECONDS = 200;

/** Size of the read buffer for a followed file. */
const READ_BUFFER_BYTES = 65_536;

/**
 * Reads the non-empty lines of a log.
 *
 * @param path - path of a file, or `-` for standard input.
 * @param follow - whether to wait for new data at the end of the file; standard input is read until
 * it is closed in either case.
 */
export async function* readEventLines(
  path: string,
  follow: boolean,
): AsyncGenerator<string, void, undefined> {
  try {
    const lines = follow && path !== '-' ? followLines(path) : readLines(path);
    for await (const line of lines) {
      if (line.trim() !== '') yield line;
    }
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw new ResultError(ResultCode.LogUnreadable, reason);
  }
}

function readLines(path: string): AsyncIterable<string> {
  const input: NodeJS.ReadStream | ReadStream =
    path === '-' ? process.stdin : createReadStream(path);
  return createInterface({ input, crlfDelay: Infinity });
}

async function* followLines(path: string): AsyncGenerator<string, void, undefined> {
  await using file = await openForReading(path);
  const decoder = new TextDecoder();
  const buffer = Buffer.alloc(READ_BUFFER_BYTES);
  let incompleteLine = '';
  for (;;) {
    const { bytesRead } = await file.handle.read(buffer, 0, READ_BUFFER_BYTES, null);
    if (bytesRead === 0) {
      await setTimeout(POLL_INTERVAL_MILLISECONDS);
      continue;
    }
    incompleteLine += decoder.decode(buffer.subarray(0, bytesRead), { stream: true });
    const lines = incompleteLine.split('\n');
    incompleteLine = lines.pop() ?? '';
    yield* lines;
  }
}

async function openForReading(
  path: string,
): Promise<AsyncDisposable & { readonly handle: FileHandle }> {
  const handle = await open(path, 'r');
  return { handle, [Symbol.asyncDispose]: async () => handle.close() };
}
