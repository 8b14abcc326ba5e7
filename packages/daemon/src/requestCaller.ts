import { once } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Milliseconds, TimeSource } from '@burdockrail/common/timeSource.js';

/** Headers of an answer by name. */
export type AnswerHeaders = Readonly<Record<string, string>>;

/** The side of a request that waits for its answer. */
export interface RequestCaller {
  /** Aborted when the caller's connection ends before the answer is complete. */
  readonly gone: AbortSignal;
  /** True once any byte of an answer has been sent. */
  readonly begun: boolean;
  /** Time at which the first byte of an answer's body was sent. */
  readonly firstByteAt: Milliseconds | undefined;
  /** Called with the time between two parts of a streamed answer. */
  onGap: ((gap: Milliseconds) => void) | undefined;
  /** Sends a whole answer with its length. */
  answer(status: number, headers: AnswerHeaders, body: Uint8Array | string): void;
  /** Sends the head of a streamed answer. */
  begin(status: number, headers: AnswerHeaders): void;
  /** Sends a part of a streamed answer; resolves when the connection takes more. */
  write(bytes: Uint8Array): Promise<void>;
  /** Ends a streamed answer as whole. */
  end(): void;
  /** Sends a last notice and breaks the connection without the mark of a whole answer. */
  cut(notice: string): void;
}

/** Creates the caller of one HTTP exchange. */
export function createRequestCaller(
  message: IncomingMessage,
  response: ServerResponse,
  time: TimeSource,
): RequestCaller {
  const controller = new AbortController();
  let firstByteAt: Milliseconds | undefined;
  let lastPartAt: Milliseconds | undefined;
  let onGap: RequestCaller['onGap'];
  const noteBytes = (): void => {
    const now = time.now();
    firstByteAt ??= now;
    if (lastPartAt !== undefined) onGap?.(now - lastPartAt);
    lastPartAt = now;
  };
  response.once('close', () => {
    if (!response.writableFinished) controller.abort();
  });
  response.on('error', () => {
    controller.abort();
  });
  return {
    gone: controller.signal,
    get begun() {
      return response.headersSent;
    },
    get firstByteAt() {
      return firstByteAt;
    },
    get onGap() {
      return onGap;
    },
    set onGap(listener) {
      onGap = listener;
    },
    answer: (status, headers, body) => {
      if (response.headersSent || response.destroyed) return;
      noteBytes();
      response.writeHead(status, { ...headers, 'content-length': Buffer.byteLength(body) });
      response.end(message.method === 'HEAD' ? undefined : body);
    },
    begin: (status, headers) => {
      if (response.destroyed) return;
      response.writeHead(status, headers);
      response.flushHeaders();
    },
    write: async (bytes) => {
      noteBytes();
      if (response.destroyed || response.write(bytes)) return;
      await Promise.race([once(response, 'drain'), once(response, 'close')]);
    },
    end: () => {
      response.end();
    },
    cut: (notice) => {
      const { socket } = response;
      if (response.destroyed || socket === null) return;
      response.write(notice, () => {
        socket.destroySoon();
      });
    },
  };
}
