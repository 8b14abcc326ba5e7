import { once } from 'node:events';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { abortSocket } from '@burdockrail/common/abortSocket.js';

/** Listen address of a stand-in; port 0 selects a free port. */
export interface StandinAddress {
  readonly host: string;
  readonly port: number;
}

/** A request, its response, and the parsed path. */
export interface StandinExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
  /** Decoded values of the capturing groups of the route's pattern. */
  readonly parameters: readonly string[];
}

/** A route; the method `*` matches every method. */
export interface StandinRoute {
  readonly method: string;
  readonly pattern: RegExp;
  readonly handle: (exchange: StandinExchange) => Promise<void> | void;
}

/** HTTP server of a stand-in that can simulate a crash. */
export interface StandinServer extends AsyncDisposable {
  readonly url: string;
  /** Resets all connections and refuses new ones for a time, in milliseconds. */
  crash(downMilliseconds: number): Promise<void>;
}

/** Sends a JSON answer. */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
  headers: Readonly<Record<string, string>> = {},
): void {
  const body = JSON.stringify(value);
  response.writeHead(status, { 'content-type': 'application/json', ...headers });
  response.end(body);
}

/** Reads the whole body of a request. */
export async function readBody(request: IncomingMessage): Promise<Buffer> {
  const parts: Buffer[] = [];
  for await (const part of request) parts.push(part as Buffer);
  return Buffer.concat(parts);
}

/** Reads the body of a request as JSON. */
export async function readJson(request: IncomingMessage): Promise<unknown> {
  const body = await readBody(request);
  return body.length === 0 ? {} : JSON.parse(body.toString('utf8'));
}

/** Value of a header; the first one if it is repeated. */
export function headerOf(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

async function dispatch(
  routes: readonly StandinRoute[],
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const url = new URL(request.url ?? '/', 'http://standin');
  for (const route of routes) {
    if (route.method !== '*' && route.method !== request.method) continue;
    const match = route.pattern.exec(url.pathname);
    if (match === null) continue;
    const parameters = match.slice(1).map((part) => decodeURIComponent(part));
    await route.handle({ request, response, url, parameters });
    return;
  }
  sendJson(response, 404, { error: 'no-such-path' });
}

function sendError(response: ServerResponse, error: unknown): void {
  if (response.destroyed) return;
  if (response.headersSent) {
    response.destroy();
    return;
  }
  sendJson(response, 500, { error: error instanceof Error ? error.message : String(error) });
}

async function listen(server: Server, address: StandinAddress): Promise<number> {
  server.listen(address.port, address.host);
  await once(server, 'listening');
  return (server.address() as AddressInfo).port;
}

/** Starts a server that dispatches each request to the first matching route. */
export async function createStandinServer(
  address: StandinAddress,
  routes: readonly StandinRoute[],
): Promise<StandinServer> {
  const sockets = new Set<Socket>();
  let isDisposed = false;
  const createListener = (): Server => {
    const newServer = createServer((request, response) => {
      dispatch(routes, request, response).catch((error: unknown) => {
        sendError(response, error);
      });
    });
    newServer.keepAliveTimeout = 60_000;
    newServer.on('connection', (socket: Socket) => {
      sockets.add(socket);
      socket.once('close', () => sockets.delete(socket));
    });
    return newServer;
  };
  const close = async (): Promise<void> => {
    const closed = once(server, 'close');
    server.close();
    for (const socket of sockets) abortSocket(socket);
    await closed;
  };
  let server = createListener();
  const port = await listen(server, address);
  return {
    url: `http://${address.host}:${port}`,
    crash: async (downMilliseconds) => {
      if (!server.listening) return;
      await close();
      setTimeout(() => {
        if (isDisposed) return;
        server = createListener();
        void listen(server, { host: address.host, port });
      }, downMilliseconds);
    },
    [Symbol.asyncDispose]: async () => {
      isDisposed = true;
      if (server.listening) await close();
    },
  };
}
