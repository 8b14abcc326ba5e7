import { createReadStream, type ReadStream } from 'node:fs';
import { open, type FileHandle } from 'node:fs/promises';
import { createInterface } from 'node:readline';
import { setTimeout } from 'node:timers/promises';
import { ResultError } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';

/** Time between two looks at a followed file, in milliseconds. */
const FOLLOW_INTERVAL_MILLISECONDS = 200;

/** Bytes that are read of a followed file at a time. */
const READ_BYTES = 65_536;

/**
 * Lines of a log that are not empty.
 *
 * @param path - a file, or `-` for the standard input.
 * @param follow - whether to go on at the end of the file; the standard input is always followed.
 */
export async function* readEventLines(
  path: string,
  follow: boolean,
): AsyncGenerator<string, void, undefined> {
  try {
    const lines = follow && path !== '-' ? followLines(path) : inputLines(path);
    for await (const line of lines) {
      if (line.trim() !== '') yield line;
    }
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw new ResultError(ResultCode.LogUnreadable, reason);
  }
}

function inputLines(path: string): AsyncIterable<string> {
  const input: NodeJS.ReadStream | ReadStream =
    path === '-' ? process.stdin : createReadStream(path);
  return createInterface({ input, crlfDelay: Infinity });
}

async function* followLines(path: string): AsyncGenerator<string, void, undefined> {
  await using file = await openForReading(path);
  const decoder = new TextDecoder();
  const buffer = Buffer.alloc(READ_BYTES);
  let rest = '';
  for (;;) {
    const { bytesRead } = await file.handle.read(buffer, 0, READ_BYTES, null);
    if (bytesRead === 0) {
      await setTimeout(FOLLOW_INTERVAL_MILLISECONDS);
      continue;
    }
    rest += decoder.decode(buffer.subarray(0, bytesRead), { stream: true });
    const lines = rest.split('\n');
    rest = lines.pop() ?? '';
    yield* lines;
  }
}

async function openForReading(
  path: string,
): Promise<AsyncDisposable & { readonly handle: FileHandle }> {
  const handle = await open(path, 'r');
  return { handle, [Symbol.asyncDispose]: async () => handle.close() };
}
