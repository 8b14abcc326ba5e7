import { randomUUID } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { failure, success, type Outcome } from '@burdockrail/common/outcome.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { promptTextOf } from '@burdockrail/protocol/protocolPrefix.js';
import type { EntrySettings } from '@burdockrail/settings/settingsSchema.js';
import type { RequestCaller } from './requestCaller.js';
import type { AcceptedRequest } from './requestTypes.js';

/** Header with which a caller bounds the whole request, in milliseconds. */
const TIMEOUT_HEADER = 'burdockrail-timeout-milliseconds';

/** Longest time that a caller may ask for, in milliseconds. */
const LONGEST_TIMEOUT_MILLISECONDS = 600_000;

/** Where a request goes, as its path and body tell. */
interface RequestTarget {
  readonly serviceName: string;
  readonly path: string;
  readonly prompt: string;
}

type TargetReader = (url: URL, body: Uint8Array) => Outcome<RequestTarget>;

function modelOf(document: unknown): string | undefined {
  if (document === null || typeof document !== 'object' || !('model' in document)) return undefined;
  return typeof document.model === 'string' ? document.model : undefined;
}

function readModelTarget(url: URL, body: Uint8Array): Outcome<RequestTarget> {
  let document: unknown;
  try {
    document = JSON.parse(Buffer.from(body).toString('utf8'));
  } catch {
    return failure(ResultCode.BadRequest, 'body: expected JSON');
  }
  const serviceName = modelOf(document);
  if (serviceName === undefined) {
    return failure(ResultCode.BadRequest, 'body.model: expected the name of a service');
  }
  const path = `${url.pathname}${url.search}`;
  return success({ serviceName, path, prompt: promptTextOf(document) });
}

const SERVICE_PATH = /^\/services\/([a-z0-9][a-z0-9.-]{0,62})(\/.*)?$/u;

function readServiceTarget(url: URL): Outcome<RequestTarget> {
  const match = SERVICE_PATH.exec(url.pathname);
  const serviceName = match?.[1];
  if (serviceName === undefined) return failure(ResultCode.BadRequest, 'path: no service named');
  return success({ serviceName, path: `${match?.[2] ?? '/'}${url.search}`, prompt: '' });
}

/** Readers of a request's target by the first part of its path. */
const targetReaders: Readonly<Record<string, TargetReader>> = {
  v1: readModelTarget,
  services: readServiceTarget,
};

/** Reads the body up to a bound; null when it is longer. */
async function readBody(message: IncomingMessage, limit: number): Promise<Uint8Array | null> {
  const parts: Buffer[] = [];
  let length = 0;
  for await (const part of message as AsyncIterable<Buffer>) {
    length += part.length;
    if (length > limit) return null;
    parts.push(part);
  }
  return Buffer.concat(parts, length);
}

function headersOf(message: IncomingMessage): Readonly<Record<string, string>> {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(message.headers)) {
    if (value !== undefined) headers[name] = Array.isArray(value) ? value.join(', ') : value;
  }
  return headers;
}

function timeoutOf(headers: Readonly<Record<string, string>>, settings: EntrySettings): number {
  const asked = Number(headers[TIMEOUT_HEADER]);
  if (!Number.isInteger(asked) || asked <= 0) return settings.defaultTimeoutMilliseconds;
  return Math.min(asked, LONGEST_TIMEOUT_MILLISECONDS);
}

/** Reads a whole request and finds out which service it is for. */
export async function acceptRequest(
  message: IncomingMessage,
  caller: RequestCaller,
  settings: EntrySettings,
  arrivedAt: Milliseconds,
): Promise<Outcome<AcceptedRequest>> {
  const url = new URL(message.url ?? '/', 'http://entry');
  const readTarget = targetReaders[url.pathname.split('/')[1] ?? ''];
  if (readTarget === undefined) return failure(ResultCode.UnknownService);
  const body = await readBody(message, settings.maximumBodyBytes);
  if (body === null) return failure(ResultCode.BodyTooLarge);
  const target = readTarget(url, body);
  if (target.kind === 'failure') return target;
  const headers = headersOf(message);
  return success({
    requestId: randomUUID(),
    method: message.method ?? 'GET',
    ...target.value,
    headers,
    body,
    arrivedAt,
    deadlineAt: arrivedAt + timeoutOf(headers, settings),
    caller,
  });
}
