import type { Socket } from 'node:net';
import type { TimeSource } from '@burdockrail/common/timeSource.js';
import { createInputShare } from '@burdockrail/limits/inputShare.js';
import type { ClientGuard } from './clientGuard.js';

/** Requests of one connection in progress beyond which its further input waits. */
const MAXIMUM_REQUESTS_AHEAD = 8;

/** Input of one client's connection, handed to the HTTP parser in slices. */
export interface ClientInput {
  requestStarted(): void;
  /** The answer to a request has been written, or its connection is closed. */
  requestEnded(): void;
}

/**
 * Puts itself between a connection and the HTTP server's parser.
 *
 * @remarks
 * Node parses all that one read brings before anything else happens, whatever work that makes, and
 * hands over each request that a client sends ahead.
 */
export function createClientInput(
  socket: Socket,
  time: TimeSource,
  { turns }: ClientGuard,
): ClientInput {
  const share = createInputShare();
  const [parse] = socket.listeners('data') as ((bytes: Buffer) => void)[];
  const pause = socket.pause.bind(socket);
  const resume = socket.resume.bind(socket);
  /** Input that the parser has not got yet; then the connection is paused. */
  let waiting: Buffer | null = null;
  let inProgress = 0;
  let isHeld = false;
  let isQueued = false;
  let isPausedByServer = false;

  const hold = (): void => {
    isHeld = true;
    pause();
  };
  const awaitTurn = (): void => {
    hold();
    if (isQueued) return;
    isQueued = true;
    turns.enqueue(() => {
      isQueued = false;
      if (socket.destroyed) return;
      isHeld = false;
      processWaiting(true);
      if (waiting === null && !isPausedByServer) resume();
    }, share.isHeavy(time.now()));
  };

  /** Hands over what is waiting, as far as the turn, the answers and the server allow. */
  const processWaiting = (hasTurn = false): void => {
    let isTurn = hasTurn;
    while (waiting !== null && !isPausedByServer && !socket.destroyed) {
      if (inProgress >= MAXIMUM_REQUESTS_AHEAD) {
        hold();
        return;
      }
      if (!isTurn && (turns.isSpent || share.isHeavy(time.now()))) {
        awaitTurn();
        return;
      }
      isTurn = false;
      const { sliceBytes } = share;
      const slice: Buffer = waiting.subarray(0, sliceBytes);
      waiting = waiting.length > sliceBytes ? waiting.subarray(sliceBytes) : null;
      parse?.call(socket, slice);
      turns.spend(share.sliceProcessed(time.now()));
    }
  };

  if (parse !== undefined) socket.removeListener('data', parse);
  socket.on('data', (bytes: Buffer) => {
    waiting = waiting === null ? bytes : Buffer.concat([waiting, bytes]);
    if (!isHeld) processWaiting();
  });
  socket.on('resume', () => {
    if (waiting !== null && !isHeld) processWaiting();
  });
  socket.once('close', () => {
    waiting = null;
  });
  // The server pauses a connection for a body that is not consumed or an answer that is not read.
  socket.pause = () => {
    isPausedByServer = true;
    return pause();
  };
  socket.resume = () => {
    isPausedByServer = false;
    return isHeld ? socket : resume();
  };

  return {
    requestStarted: () => {
      share.countRequest(inProgress > 0);
      inProgress += 1;
    },
    requestEnded: () => {
      inProgress -= 1;
      if (isHeld && inProgress < MAXIMUM_REQUESTS_AHEAD) awaitTurn();
    },
  };
}
