import type { Socket } from 'node:net';

/** Connections of callers, to be closed without cutting off an answer or half a request. */
export interface CallerConnections {
  add(socket: Socket): void;
  requestStarted(socket: Socket): void;
  /** All bytes of the answer have been written. */
  requestFinished(socket: Socket): void;
  /** Closes idle connections now, and each other one after its answer. */
  closeWhenIdle(): void;
}

interface ConnectionState {
  /** More than one if the caller sends requests without waiting for answers. */
  requestsInProgress: number;
  /** Bytes received when the connection last became idle; more belong to a request not yet read. */
  idleAtBytes: number;
}

/** Creates an empty set of connections. */
export function createCallerConnections(): CallerConnections {
  const states = new Map<Socket, ConnectionState>();
  let isClosing = false;
  return {
    add: (socket) => {
      states.set(socket, { requestsInProgress: 0, idleAtBytes: 0 });
      socket.once('close', () => states.delete(socket));
    },
    requestStarted: (socket) => {
      const state = states.get(socket);
      if (state !== undefined) state.requestsInProgress += 1;
    },
    requestFinished: (socket) => {
      const state = states.get(socket);
      if (state === undefined) return;
      state.requestsInProgress -= 1;
      state.idleAtBytes = socket.bytesRead;
      if (isClosing && state.requestsInProgress === 0) socket.destroySoon();
    },
    closeWhenIdle: () => {
      isClosing = true;
      for (const [socket, { requestsInProgress, idleAtBytes }] of states)
        if (requestsInProgress === 0 && socket.bytesRead === idleAtBytes) socket.destroySoon();
    },
  };
}
