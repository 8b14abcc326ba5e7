import { once } from 'node:events';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { Socket } from 'node:net';
import type { TimeSource } from '@burdockrail/common/timeSource.js';
import type { ClientAccount } from '@burdockrail/limits/clientMemory.js';
import type { Address } from '@burdockrail/protocol/protocolAddress.js';
import type { MetricRegistry } from '@burdockrail/telemetry/metricRegistry.js';
import {
  createCallerConnections,
  type CallerConnections,
  type ConnectionTurn,
} from './callerConnections.js';
import { isBodyPending } from './clientBody.js';
import type { ClientGuard } from './clientGuard.js';
import { createClientInput, type ClientInput } from './clientInput.js';

/** Memory of a request besides its head and body, in bytes: its objects, timers and log line. */
const REQUEST_BYTES = 8 * 1024;

/** Memory of a line of a head besides its text, in bytes: strings, and entries of lists and tables. */
const HEAD_LINE_BYTES = 256;

/** Largest head, in bytes. */
const MAXIMUM_HEAD_BYTES = 16_384;

/** Interval at which connections are checked for heads that take too long, in milliseconds. */
const HEADER_CHECK_INTERVAL_MILLISECONDS = 400;

/** Longest time for a head, and without a byte on a connection, unless a server sets others. */
const HEADER_TIMEOUT_MILLISECONDS = 3_000;
const IDLE_TIMEOUT_MILLISECONDS = 15_000;

/** Connections that wait to be accepted. */
const BACKLOG = 1_024;

/** A request of a client with what it takes of the process. */
export interface ClientExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly turn: ConnectionTurn;
  readonly account: ClientAccount;
  readonly input: Pick<ClientInput, 'bodyPartReceived' | 'hasSmallParts'>;
  readonly guard: ClientGuard;
  readonly time: TimeSource;
  /** False if the memory of all clients is used up: the request can only be refused. */
  readonly hasMemory: boolean;
  /**
   * Call it when the answer begins. Returns whether the answer must end the connection because its
   * request has not been read; the rest is dropped.
   */
  readonly endsInput: () => boolean;
  /** An answer of this size waits for its client to read it. */
  readonly answerHeld: (bytes: number) => void;
}

/** Options of {@link createClientServer}. */
export interface ClientServerOptions {
  readonly maximumConnections: number;
  readonly guard: ClientGuard;
  readonly time: TimeSource;
  readonly metrics: Pick<MetricRegistry, 'count'>;
  readonly handle: (exchange: ClientExchange) => void;
}

/** HTTP server for clients that are not trusted. */
export interface ClientServer {
  readonly server: Server;
  readonly connections: CallerConnections;
  readonly listen: (address: Address) => Promise<void>;
}

/** Status lines for requests that can't be read, by the error of the HTTP parser; 400 for others. */
const statusByReadError: Readonly<Partial<Record<string, string>>> = {
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
};

function headBytes({ rawHeaders, url = '' }: IncomingMessage): number {
  const lineBytes = (rawHeaders.length / 2) * HEAD_LINE_BYTES;
  return rawHeaders.reduce((bytes, text) => bytes + text.length, url.length + lineBytes);
}

/**
 * Creates a server that bounds what its clients make the process hold and do, whatever they send.
 *
 * @remarks
 * All servers of a process share one guard, since each bound alone does not bound the process.
 */
export function createClientServer(options: ClientServerOptions): ClientServer {
  const { guard, time, metrics, maximumConnections, handle } = options;
  const connections = createCallerConnections();
  const inputs = new WeakMap<Socket, ClientInput>();
  const server = createServer(
    {
      maxHeaderSize: MAXIMUM_HEAD_BYTES,
      keepAlive: true,
      noDelay: true,
      connectionsCheckingInterval: HEADER_CHECK_INTERVAL_MILLISECONDS,
    },
    (request, response) => {
      const { socket } = request;
      const turn = connections.requestStarted(socket, response);
      const input = inputs.get(socket);
      if (turn === null || input === undefined) {
        metrics.count('burdockrail_requests_behind_close_total');
        request.resume();
        input?.discard();
        return;
      }
      input.requestStarted();
      const account = guard.memory.open(time.now());
      const hasMemory = account.tryReserve(REQUEST_BYTES + headBytes(request), time.now());
      response.once('finish', () => {
        turn.finished();
      });
      response.once('close', () => {
        account.close();
        input.requestEnded();
      });
      // A client that leaves while it sends a body is noticed by the answer.
      request.on('error', () => undefined);
      handle({
        request,
        response,
        turn,
        account,
        input,
        guard,
        time,
        hasMemory,
        endsInput: () => {
          // Without memory the headers are not looked at, which would take more of it.
          if (hasMemory && !isBodyPending(request)) return false;
          input.discard();
          return true;
        },
        answerHeld: (bytes) => {
          account.setEviction(() => {
            metrics.count('burdockrail_clients_evicted_total', { holding: 'answer' });
            socket.destroy();
          });
          account.reserve(bytes, time.now());
        },
      });
    },
  );
  server.headersTimeout = HEADER_TIMEOUT_MILLISECONDS;
  server.keepAliveTimeout = IDLE_TIMEOUT_MILLISECONDS;
  server.timeout = IDLE_TIMEOUT_MILLISECONDS;
  server.requestTimeout = 0;
  // When it closes, Node 20 would cut off answers that have ended but are not yet written.
  server.closeIdleConnections = () => undefined;
  // By default Node answers what it can't read before the request in progress has its answer.
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    if (socket instanceof Socket && inputs.get(socket)?.isDiscarding === true) {
      socket.destroySoon();
      return;
    }
    const isUnreadable = error.code?.startsWith('HPE_') === true;
    if (isUnreadable && socket instanceof Socket && connections.receivedNoRequest(socket)) return;
    const status = statusByReadError[error.code ?? ''] ?? '400 Bad Request';
    if (socket.writable) socket.write(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`);
    socket.destroy();
  });
  // A connection on which nothing happens is closed unless its answer is awaited.
  server.on('timeout', (socket: Socket) => {
    if (connections.awaitsClient(socket)) socket.destroy();
  });
  server.on('connection', (socket: Socket) => {
    connections.add(socket);
    guard.turns.connectionAccepted();
    inputs.set(socket, createClientInput(socket, time, guard));
    if (connections.size <= maximumConnections) return;
    metrics.count('burdockrail_clients_evicted_total', { holding: 'connection' });
    (connections.longestIdle() ?? socket).destroy();
  });
  return {
    server,
    connections,
    listen: async ({ host, port }) => {
      server.listen(port, host, BACKLOG);
      await once(server, 'listening');
    },
  };
}
