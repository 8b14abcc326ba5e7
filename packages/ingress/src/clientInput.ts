import type { Socket } from 'node:net';
import type { TimeSource } from '@burdockrail/common/timeSource.js';
import { createInputShare } from '@burdockrail/limits/inputShare.js';
import type { ClientGuard } from './clientGuard.js';

/** Requests of one connection in progress beyond which its further input waits. */
const MAXIMUM_REQUESTS_AHEAD = 8;

/** Time for which a connection stays open for its client to read the last answer, in milliseconds. */
const LINGER_MILLISECONDS = 1_000;

/**
 * Input that is read and dropped meanwhile, in bytes: most of what a client has under way. Beyond it
 * the connection is paused, so that its unread bytes take memory of the system.
 */
const LINGER_BYTES = 1024 * 1024;

/** Input of one client's connection, handed to the HTTP parser in slices. */
export interface ClientInput {
  /** True once further input is dropped. */
  readonly isDiscarding: boolean;
  /** True if small parts of bodies make the connection take more than its share. */
  readonly hasSmallParts: boolean;
  requestStarted(): void;
  /** The answer to a request has been written, or its connection is closed. */
  requestEnded(): void;
  bodyPartReceived(bytes: number): void;
  /** Drops all further input: its request has been refused. */
  discard(): void;
}

/**
 * Puts itself between a connection and the HTTP server's parser.
 *
 * @remarks
 * Node parses all that one read brings before anything else happens, whatever work that makes, and
 * hands over each request that a client sends ahead. It also closes a connection behind its last
 * answer with input unread, which resets it and may cost the client the answer.
 */
export function createClientInput(
  socket: Socket,
  time: TimeSource,
  { memory, turns, lingering, lingeringUnread }: Omit<ClientGuard, 'smallPartBodies'>,
): ClientInput {
  const account = memory.open(time.now());
  const share = createInputShare();
  const [parse] = socket.listeners('data') as ((bytes: Buffer) => void)[];
  const pause = socket.pause.bind(socket);
  const resume = socket.resume.bind(socket);
  const destroySoon = socket.destroySoon.bind(socket);
  /** Input that the parser has not got yet; then the connection is paused. */
  let waiting: Buffer | null = null;
  let inProgress = 0;
  let isHeld = false;
  let isQueued = false;
  let isPausedByServer = false;
  let isDiscarding = false;
  let discardedBytes = 0;
  let isLingering = false;
  let isLeftUnread = false;

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
      if (socket.destroyed || isDiscarding) return;
      isHeld = false;
      processWaiting(true);
      if (waiting === null && !isPausedByServer) resume();
    }, share.isHeavy(time.now()));
  };

  /** Hands over what is waiting, as far as the turn, the answers and the server allow. */
  const handOver = (hasTurn: boolean): void => {
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
      turns.spend(share.sliceProcessed(slice.length, time.now()));
    }
  };

  const processWaiting = (hasTurn = false): void => {
    handOver(hasTurn);
    account.release(account.heldBytes);
    if (waiting === null || account.tryReserve(waiting.length, time.now())) return;
    waiting = null;
    socket.destroy();
  };

  const discardBytes = (bytes: number): void => {
    discardedBytes += bytes;
    if (discardedBytes <= LINGER_BYTES || isLeftUnread) return;
    isLeftUnread = lingeringUnread.tryTake();
    if (isLeftUnread) pause();
    else socket.destroy();
  };

  if (parse !== undefined) socket.removeListener('data', parse);
  socket.on('data', (bytes: Buffer) => {
    if (isDiscarding) {
      discardBytes(bytes.length);
      return;
    }
    waiting = waiting === null ? bytes : Buffer.concat([waiting, bytes]);
    if (!isHeld) processWaiting();
  });
  socket.on('resume', () => {
    if (waiting !== null && !isHeld) processWaiting();
  });
  socket.once('close', () => {
    waiting = null;
    account.close();
    if (isLingering) lingering.giveBack();
    if (isLeftUnread) lingeringUnread.giveBack();
  });
  // The server pauses a connection for a body that is not consumed or an answer that is not read.
  socket.pause = () => {
    if (isDiscarding) return socket;
    isPausedByServer = true;
    return pause();
  };
  socket.resume = () => {
    isPausedByServer = false;
    return isHeld ? socket : resume();
  };
  socket.destroySoon = () => {
    isLingering ||= isDiscarding && !socket.destroyed && lingering.tryTake();
    if (!isLingering) {
      destroySoon();
      return;
    }
    socket.end();
    setTimeout(() => socket.destroy(), LINGER_MILLISECONDS).unref();
  };

  return {
    get isDiscarding() {
      return isDiscarding;
    },
    get hasSmallParts() {
      return share.hasSmallParts;
    },
    requestStarted: () => {
      share.countRequest(inProgress > 0);
      inProgress += 1;
    },
    requestEnded: () => {
      inProgress -= 1;
      if (isHeld && inProgress < MAXIMUM_REQUESTS_AHEAD) awaitTurn();
    },
    bodyPartReceived: (bytes) => {
      share.countBodyPart(bytes);
    },
    discard: () => {
      isDiscarding = true;
      isHeld = false;
      waiting = null;
      account.close();
      resume();
    },
  };
}
