import type { ServerResponse } from 'node:http';
import { ResultCode, resultDescriptions } from '@burdockrail/common/resultCode.js';
import type { Dialect } from './dialect.js';
import type { Refusal } from './entryAdmission.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Status codes that differ from the ones that the codes have elsewhere. */
const statusOverrides: Partial<Readonly<Record<ResultCode, number>>> = {
  // Whether a content is to blame is a guess, so the caller may come back.
  [ResultCode.Quarantined]: 503,
};

/** Headers that belong to one connection, or that the entry's own server sets. */
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

/** How the answer to a caller ended. */
export type AnswerEnd = 'open' | 'whole' | 'broken';

/** Writes the one answer to a caller. */
export interface CallerAnswer {
  /** True once a byte of the answer may have left. */
  readonly begun: boolean;
  readonly end: AnswerEnd;
  readonly status: number;
  refuse(refusal: Refusal): void;
  whole(status: number, rawHeaders: readonly string[], body: Buffer): void;
  begin(status: number, rawHeaders: readonly string[]): void;
  /** Returns false while the caller's connection takes no more. */
  write(bytes: Buffer): boolean;
  finish(): void;
  /** Ends the connection so that the answer does not look complete. */
  breakOff(): void;
  onDrain(resume: () => void): void;
}

function passedOn(rawHeaders: readonly string[], withoutLength: boolean): readonly string[] {
  const kept: string[] = [];
  for (let place = 0; place + 1 < rawHeaders.length; place += 2) {
    const name = rawHeaders[place] ?? '';
    const lower = name.toLowerCase();
    if (connectionHeaders.has(lower)) continue;
    if (withoutLength && lower === 'content-length') continue;
    kept.push(name, rawHeaders[place + 1] ?? '');
  }
  return kept;
}

/** Names in an HTTP header block that concern one connection only. */
export function isConnectionHeader(name: string): boolean {
  return connectionHeaders.has(name);
}

/** Status with which a refusal is sent. */
export function refusalStatus(code: ResultCode): number {
  return statusOverrides[code] ?? resultDescriptions[code].httpStatus;
}

/** Creates the writer; `closing` tells whether the caller should open a new connection next. */
export function createCallerAnswer(
  response: ServerResponse,
  dialect: Dialect,
  closing: () => boolean,
): CallerAnswer {
  let begun = false;
  let end: AnswerEnd = 'open';
  let status = 0;

  const head = (code: number, headers: readonly string[]): void => {
    begun = true;
    status = code;
    const all = closing() ? [...headers, 'Connection', 'close'] : [...headers];
    response.writeHead(code, all);
  };
  const finish = (): void => {
    end = 'whole';
    response.end();
  };

  return {
    get begun() {
      return begun;
    },
    get end() {
      return end;
    },
    get status() {
      return status;
    },
    refuse: ({ code, detail, retryAfterMilliseconds }) => {
      if (begun) return;
      const body = Buffer.from(dialect.errorBody(code, detail));
      const headers = ['Content-Type', 'application/json', 'Content-Length', String(body.length)];
      if (retryAfterMilliseconds !== null) {
        const seconds = retryAfterMilliseconds / MILLISECONDS_PER_SECOND;
        headers.push('Retry-After', seconds.toFixed(3));
      }
      head(refusalStatus(code), headers);
      response.write(body);
      finish();
    },
    whole: (code, rawHeaders, body) => {
      if (begun) return;
      const mayHaveBody = code !== 204 && code !== 304;
      const length = mayHaveBody ? ['Content-Length', String(body.length)] : [];
      head(code, [...passedOn(rawHeaders, true), ...length]);
      if (body.length > 0) response.write(body);
      finish();
    },
    begin: (code, rawHeaders) => {
      if (!begun) head(code, passedOn(rawHeaders, true));
    },
    write: (bytes) => response.write(bytes),
    finish,
    breakOff: () => {
      end = 'broken';
      response.destroy();
    },
    onDrain: (resume) => {
      response.once('drain', resume);
    },
  };
}
