import { createByteCollector } from '@burdockrail/common/byteCollector.js';
import type { Dispatcher } from 'undici';

/** A complete HTTP answer. */
export interface WholeAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Buffer;
}

/**
 * Sends a request and reads its answer to the end.
 *
 * @remarks
 * The parts are copied as the parser delivers them. A stream between the two keeps an object for each
 * part, and has no bound on them while its reader is slow.
 *
 * @param signal - aborts the request.
 * @throws if no complete answer arrives, or one longer than `maximumBytes`.
 */
export async function requestWhole(
  dispatcher: Dispatcher,
  request: Dispatcher.DispatchOptions,
  maximumBytes: number,
  signal: AbortSignal,
): Promise<WholeAnswer> {
  return new Promise((resolve, reject) => {
    const received = createByteCollector({ maximumBytes });
    let status = 0;
    let headers: WholeAnswer['headers'] = {};
    let controller: Dispatcher.DispatchController | null = null;
    let failure: Error | null = null;
    const fail = (error: Error): void => {
      if (failure !== null) return;
      failure = error;
      signal.removeEventListener('abort', abort);
      received.close();
      reject(error);
      controller?.abort(error);
    };
    const abort = (): void => {
      const { reason } = signal as { readonly reason: unknown };
      fail(reason instanceof Error ? reason : new Error(String(reason)));
    };
    if (signal.aborted) {
      abort();
      return;
    }
    signal.addEventListener('abort', abort, { once: true });
    try {
      dispatcher.dispatch(request, {
        onRequestStart: (started) => {
          controller = started;
          if (failure !== null) started.abort(failure);
        },
        onResponseStart: (_controller, statusCode, answerHeaders) => {
          status = statusCode;
          headers = answerHeaders;
        },
        onResponseData: (_controller, part) => {
          if (failure === null && !received.add(part))
            fail(new Error('the answer exceeds the size limit'));
        },
        onResponseEnd: () => {
          signal.removeEventListener('abort', abort);
          if (failure === null) resolve({ status, headers, body: received.take() });
        },
        onResponseError: (_controller, error) => {
          fail(error);
        },
      });
    } catch (error) {
      fail(error instanceof Error ? error : new Error(String(error)));
    }
  });
}
