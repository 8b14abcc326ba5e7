import type { Socket } from 'node:net';

/**
 * Ends a socket with a reset where that is possible.
 *
 * @remarks
 * A reset while the end of the stream is being sent leaves the handle open for good: the process
 * then spins at its exit. Such a socket is closed without a reset.
 */
export function abortSocket(socket: Socket | undefined): void {
  if (socket?.writableEnded === false) socket.resetAndDestroy();
  else socket?.destroy();
}
