import type { Socket } from 'node:net';

/**
 * Closes a socket with a TCP reset if possible, otherwise without one.
 *
 * @remarks
 * In Node, a reset after `end()` leaves the handle open forever, and the process spins at its exit.
 * Such a socket is destroyed instead.
 */
export function abortSocket(socket: Socket | undefined): void {
  if (socket?.writableEnded === false) socket.resetAndDestroy();
  else socket?.destroy();
}
