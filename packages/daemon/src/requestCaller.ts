import { once } from 'node:events';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { ClientExchange } from '@burdockrail/ingress/clientServer.js';

/** Headers of an answer by name. */
export type AnswerHeaders = Readonly<Record<string, string>>;

/** The caller's side of an HTTP exchange. */
export interface RequestCaller {
  /** Aborted if the caller's connection ends before the answer is complete. */
  readonly disconnected: AbortSignal;
  /** True once the head of an answer has been sent. */
  readonly headSent: boolean;
  /** Time at which the first byte of an answer's body was sent. */
  readonly firstByteAt: Milliseconds | undefined;
  /** Called with the time between two consecutive parts of a streamed answer. */
  onGap: ((gap: Milliseconds) => void) | undefined;
  /** Sends a complete answer with its length. */
  sendAnswer(status: number, headers: AnswerHeaders, body: Uint8Array | string): void;
  /** Sends the head of a streamed answer. */
  startAnswer(status: number, headers: AnswerHeaders): void;
  /** Sends a part of a streamed answer; resolves when the connection accepts more data. */
  write(bytes: Uint8Array): Promise<void>;
  /** Completes a streamed answer. */
  end(): void;
  /** Sends a notice and closes the connection without terminating the answer body. */
  abort(notice: string): void;
}

/** Creates the caller of one HTTP exchange. */
export function createRequestCaller(client: ClientExchange): RequestCaller {
  const { request: message, response, time } = client;
  const disconnectController = new AbortController();
  let firstByteAt: Milliseconds | undefined;
  let previousPartAt: Milliseconds | undefined;
  let onGap: RequestCaller['onGap'];
  const recordPart = (): void => {
    const now = time.now();
    firstByteAt ??= now;
    if (previousPartAt !== undefined) onGap?.(now - previousPartAt);
    previousPartAt = now;
  };
  response.once('close', () => {
    if (!response.writableFinished) disconnectController.abort();
  });
  response.on('error', () => {
    disconnectController.abort();
  });
  return {
    disconnected: disconnectController.signal,
    get headSent() {
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
    sendAnswer: (status, headers, body) => {
      if (response.headersSent || response.destroyed) return;
      recordPart();
      const bytes = Buffer.byteLength(body);
      response.writeHead(status, {
        ...headers,
        'content-length': bytes,
        ...(client.endsInput() ? { connection: 'close' } : {}),
      });
      client.answerHeld(bytes);
      response.end(message.method === 'HEAD' ? undefined : body);
    },
    startAnswer: (status, headers) => {
      if (response.destroyed) return;
      response.writeHead(status, headers);
      response.flushHeaders();
    },
    write: async (bytes) => {
      recordPart();
      if (response.destroyed || response.write(bytes)) return;
      await Promise.race([once(response, 'drain'), once(response, 'close')]);
    },
    end: () => {
      response.end();
    },
    abort: (notice) => {
      const { socket } = response;
      if (response.destroyed || response.writableEnded || socket === null) return;
      response.write(notice, () => {
        socket.destroySoon();
      });
    },
  };
}
