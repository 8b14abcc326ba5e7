import { randomUUID } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { readClientBody, type BodyFailure } from '@burdockrail/ingress/clientBody.js';
import type { ClientExchange } from '@burdockrail/ingress/clientServer.js';
import { failure, success, type Outcome } from '@burdockrail/common/outcome.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { promptTextOf } from '@burdockrail/protocol/protocolPrefix.js';
import type { EntrySettings } from '@burdockrail/settings/settingsSchema.js';
import type { RequestCaller } from './requestCaller.js';
import type { AcceptedRequest } from './requestTypes.js';

/** Header with the caller's timeout for the request, in milliseconds. */
const TIMEOUT_HEADER = 'burdockrail-timeout-milliseconds';

/** Longest timeout that a caller may set, in milliseconds. */
const MAXIMUM_TIMEOUT_MILLISECONDS = 600_000;

/** Target of a request, taken from its path and body. */
interface RequestTarget {
  readonly serviceName: string;
  readonly path: string;
  readonly prompt: string;
}

type TargetReader = (url: URL, body: Uint8Array) => Outcome<RequestTarget>;

function modelNameOf(document: unknown): string | undefined {
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
  const serviceName = modelNameOf(document);
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
  if (serviceName === undefined)
    return failure(ResultCode.BadRequest, 'path: missing service name');
  return success({ serviceName, path: `${match?.[2] ?? '/'}${url.search}`, prompt: '' });
}

/** Readers of a request's target by the first segment of its path. */
const targetReaders: Readonly<Record<string, TargetReader>> = {
  v1: readModelTarget,
  services: readServiceTarget,
};

function headersOf(message: IncomingMessage): Readonly<Record<string, string>> {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(message.headers)) {
    if (value !== undefined) headers[name] = Array.isArray(value) ? value.join(', ') : value;
  }
  return headers;
}

function requestTimeout(
  headers: Readonly<Record<string, string>>,
  settings: EntrySettings,
): number {
  const requested = Number(headers[TIMEOUT_HEADER]);
  if (!Number.isInteger(requested) || requested <= 0) return settings.defaultTimeoutMilliseconds;
  return Math.min(requested, MAXIMUM_TIMEOUT_MILLISECONDS);
}

const bodyFailureCodes: Readonly<Record<BodyFailure, ResultCode>> = {
  tooLarge: ResultCode.BodyTooLarge,
  noMemory: ResultCode.Overloaded,
  aborted: ResultCode.ConnectionLost,
};

/** Reads a complete request and determines its service. */
export async function acceptRequest(
  client: ClientExchange,
  caller: RequestCaller,
  settings: EntrySettings,
  arrivedAt: Milliseconds,
): Promise<Outcome<AcceptedRequest>> {
  const { request: message } = client;
  if (!client.hasMemory) return failure(ResultCode.Overloaded);
  const url = new URL(message.url ?? '/', 'http://entry');
  const readTarget = targetReaders[url.pathname.split('/')[1] ?? ''];
  if (readTarget === undefined) return failure(ResultCode.UnknownService);
  const read = await readClientBody(client, settings.maximumBodyBytes);
  if (read.kind !== 'whole') return failure(bodyFailureCodes[read.kind]);
  const body = read.bytes ?? Buffer.alloc(0);
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
    deadlineAt: arrivedAt + requestTimeout(headers, settings),
    caller,
  });
}
