import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';

/** One request as an upstream sees it. */
export interface RawRequest {
  readonly socket: Socket;
  /** Number of the request over all connections, from 0. */
  readonly index: number;
  /** Number of its connection, from 0. */
  readonly connection: number;
  readonly text: string;
}

/** An upstream that writes exact bytes. */
export interface RawUpstream extends AsyncDisposable {
  readonly port: number;
  readonly requests: readonly RawRequest[];
}

/** Starts an upstream; each request must arrive in one part. */
export async function startRawUpstream(
  onRequest: (request: RawRequest) => void,
): Promise<RawUpstream> {
  const sockets = new Set<Socket>();
  const requests: RawRequest[] = [];
  let connections = 0;
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    const connection = connections;
    connections += 1;
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('end', () => socket.end());
    socket.on('close', () => sockets.delete(socket));
    socket.on('data', (bytes) => {
      const text = bytes.toString('latin1');
      if (text.trim() === '') return;
      const request = { socket, index: requests.length, connection, text };
      requests.push(request);
      onRequest(request);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return {
    port: (server.address() as AddressInfo).port,
    requests,
    [Symbol.asyncDispose]: async () => {
      for (const socket of sockets) socket.destroy();
      server.close();
      await once(server, 'close');
    },
  };
}
