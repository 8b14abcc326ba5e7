import type { ServerResponse } from 'node:http';
import { ResultCode, resultDescriptions } from '@burdockrail/common/resultCode.js';
import type { Dialect } from './dialect.js';
import type { Refusal } from './entryAdmission.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** HTTP statuses that override those of the result descriptions. */
const statusOverrides: Partial<Readonly<Record<ResultCode, number>>> = {
  // Blaming the request for a crash is a heuristic, so the caller may retry.
  [ResultCode.Quarantined]: 503,
};

/** Hop-by-hop headers and headers that the entry's own server sets. */
const connectionHeaders: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** State of the answer to a caller. */
export type AnswerState = 'open' | 'whole' | 'broken';

/** Writes the answer to a caller. */
export interface CallerAnswer {
  /** True once the headers may have been sent. */
  readonly headersSent: boolean;
  readonly state: AnswerState;
  readonly status: number;
  refuse(refusal: Refusal): void;
  /** Sends a complete answer of an upstream. */
  sendBuffered(status: number, rawHeaders: readonly string[], body: Buffer): void;
  sendHeaders(status: number, rawHeaders: readonly string[]): void;
  /** Returns false when the caller's connection applies backpressure. */
  write(bytes: Buffer): boolean;
  finish(): void;
  /** Destroys the connection, so that the caller sees an incomplete answer. */
  destroyConnection(): void;
  onDrain(resume: () => void): void;
}

function forwardedHeaders(
  rawHeaders: readonly string[],
  withoutLength: boolean,
): readonly string[] {
  const forwarded: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    const lowerCaseName = name.toLowerCase();
    if (connectionHeaders.has(lowerCaseName)) continue;
    if (withoutLength && lowerCaseName === 'content-length') continue;
    forwarded.push(name, rawHeaders[index + 1] ?? '');
  }
  return forwarded;
}

/** True for hop-by-hop headers; the name must be in lower case. */
export function isConnectionHeader(name: string): boolean {
  return connectionHeaders.has(name);
}

/** HTTP status of a refusal. */
export function refusalStatus(code: ResultCode): number {
  return statusOverrides[code] ?? resultDescriptions[code].httpStatus;
}

/**
 * Creates the writer.
 *
 * @param isClosing - tells whether to send `Connection: close`.
 * @param onHeld - called with the size of a body that waits for the caller to read it, in bytes.
 */
export function createCallerAnswer(
  response: ServerResponse,
  dialect: Dialect,
  isClosing: () => boolean,
  onHeld: (bytes: number) => void,
): CallerAnswer {
  let headersSent = false;
  let state: AnswerState = 'open';
  let status = 0;

  const writeHead = (statusCode: number, headers: readonly string[]): void => {
    const allHeaders = isClosing() ? [...headers, 'Connection', 'close'] : [...headers];
    // Throws for headers that can't be sent, after which the caller can still get another answer.
    response.writeHead(statusCode, allHeaders);
    headersSent = true;
    status = statusCode;
  };
  const finish = (): void => {
    state = 'whole';
    response.end();
  };

  return {
    get headersSent() {
      return headersSent;
    },
    get state() {
      return state;
    },
    get status() {
      return status;
    },
    refuse: ({ code, detail, retryAfterMilliseconds }) => {
      if (headersSent) return;
      const body = Buffer.from(dialect.errorBody(code, detail));
      const headers = ['Content-Type', 'application/json', 'Content-Length', String(body.length)];
      if (retryAfterMilliseconds !== null) {
        const seconds = retryAfterMilliseconds / MILLISECONDS_PER_SECOND;
        headers.push('Retry-After', seconds.toFixed(3));
      }
      writeHead(refusalStatus(code), headers);
      response.write(body);
      finish();
    },
    sendBuffered: (statusCode, rawHeaders, body) => {
      if (headersSent) return;
      const mayHaveBody = statusCode !== 204 && statusCode !== 304;
      const length = mayHaveBody ? ['Content-Length', String(body.length)] : [];
      writeHead(statusCode, [...forwardedHeaders(rawHeaders, true), ...length]);
      onHeld(body.length);
      if (body.length > 0) response.write(body);
      finish();
    },
    sendHeaders: (statusCode, rawHeaders) => {
      if (!headersSent) writeHead(statusCode, forwardedHeaders(rawHeaders, true));
    },
    write: (bytes) => response.write(bytes),
    finish,
    destroyConnection: () => {
      state = 'broken';
      response.destroy();
    },
    onDrain: (resume) => {
      response.once('drain', resume);
    },
  };
}
