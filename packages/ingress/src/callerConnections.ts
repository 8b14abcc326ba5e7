import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** One request on a caller's connection. */
export interface ConnectionTurn {
  /**
   * Returns whether the answer may end the connection, which no request behind it then uses; call it
   * when the answer begins.
   */
  mayEndConnection(): boolean;
  /** All bytes of the answer have been written. */
  finished(): void;
}

/** Connections of callers, to be closed without cutting off an answer or half a request. */
export interface CallerConnections {
  /** Number of open connections. */
  readonly size: number;
  add(socket: Socket): void;
  /** Returns `null` for a request behind an answer that ends the connection: it gets no answer. */
  requestStarted(socket: Socket, response: ServerResponse): ConnectionTurn | null;
  /**
   * What was received after the last request is no request. Returns true if that request was read
   * completely, and the connection is kept open until it has its answer.
   */
  receivedNoRequest(socket: Socket): boolean;
  /** True if the next step is the client's: to send a request or the rest of one, or to read. */
  awaitsClient(socket: Socket): boolean;
  /**
   * Of the connections without a request in progress the oldest that never had one, or else the one
   * that has been idle for longest.
   */
  longestIdle(): Socket | undefined;
  /** Closes idle connections now, and each other one after its answer. */
  closeWhenIdle(): void;
}

interface ConnectionState {
  /** More than one if the caller sends requests without waiting for answers. */
  requestsInProgress: number;
  requestsStarted: number;
  readonly openResponses: Set<ServerResponse>;
  /** Bytes received when the connection last became idle; more belong to a request not yet read. */
  idleAtBytes: number;
  /** True once no further request can be answered. */
  isEnding: boolean;
  /** True once the connection is to be closed after the answers in progress. */
  closesAfterAnswers: boolean;
}

function isRequestIncomplete({ openResponses }: ConnectionState): boolean {
  return [...openResponses].some(({ req }) => !req.complete);
}

/** Creates an empty set of connections. */
export function createCallerConnections(): CallerConnections {
  /** Those that became idle last are the last ones. */
  const states = new Map<Socket, ConnectionState>();
  let isClosing = false;

  const close = (socket: Socket, state: ConnectionState): void => {
    state.isEnding = true;
    socket.destroySoon();
  };

  return {
    get size() {
      return states.size;
    },
    add: (socket) => {
      const openResponses = new Set<ServerResponse>();
      states.set(socket, {
        requestsInProgress: 0,
        requestsStarted: 0,
        openResponses,
        idleAtBytes: 0,
        isEnding: false,
        closesAfterAnswers: false,
      });
      socket.once('close', () => {
        states.delete(socket);
        // Node reports the close only to the response that is being written, not to those behind it.
        for (const response of openResponses) if (response.socket === null) response.emit('close');
      });
    },
    requestStarted: (socket, response) => {
      const state = states.get(socket);
      if (state === undefined || state.isEnding) return null;
      state.openResponses.add(response);
      response.once('close', () => state.openResponses.delete(response));
      state.requestsInProgress += 1;
      state.requestsStarted += 1;
      const number = state.requestsStarted;
      return {
        mayEndConnection: () => {
          if (number !== state.requestsStarted) return false;
          state.isEnding = true;
          return true;
        },
        finished: () => {
          state.requestsInProgress -= 1;
          state.idleAtBytes = socket.bytesRead;
          if (states.delete(socket)) states.set(socket, state);
          const mayClose = isClosing || state.closesAfterAnswers;
          if (mayClose && state.requestsInProgress === 0) close(socket, state);
        },
      };
    },
    receivedNoRequest: (socket) => {
      const state = states.get(socket);
      if (state === undefined || state.requestsInProgress === 0) return false;
      if (isRequestIncomplete(state)) return false;
      state.isEnding = true;
      state.closesAfterAnswers = true;
      return true;
    },
    awaitsClient: (socket) => {
      const state = states.get(socket);
      if (state === undefined || state.requestsInProgress === 0) return true;
      return socket.writableLength > 0 || isRequestIncomplete(state);
    },
    longestIdle: () => {
      let longestIdle: Socket | undefined;
      for (const [socket, state] of states) {
        if (state.requestsInProgress > 0) continue;
        if (state.requestsStarted === 0) return socket;
        longestIdle ??= socket;
      }
      return longestIdle;
    },
    closeWhenIdle: () => {
      isClosing = true;
      for (const [socket, state] of states)
        if (state.requestsInProgress === 0 && socket.bytesRead === state.idleAtBytes)
          close(socket, state);
    },
  };
}
