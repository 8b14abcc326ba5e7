import { connect } from 'node:net';
import { isPort, type Address } from '@burdockrail/protocol/protocolAddress.js';

/** Time after which a connection that is neither accepted nor refused proves nothing. */
const PROBE_TIMEOUT_MILLISECONDS = 250;

/**
 * Opens and closes a connection; returns whether it was refused.
 *
 * @remarks
 * After a crash nothing listens at the address, whereas a network fault resets connections of
 * upstreams that go on listening.
 */
export async function isConnectionRefused(
  { host, port }: Address,
  localAddress: string,
): Promise<boolean> {
  if (!isPort(port)) return false;
  return new Promise((resolve) => {
    const socket = connect({ host, port, localAddress, timeout: PROBE_TIMEOUT_MILLISECONDS });
    const settle = (isRefused: boolean): void => {
      socket.destroy();
      resolve(isRefused);
    };
    socket.once('connect', () => {
      settle(false);
    });
    socket.once('timeout', () => {
      settle(false);
    });
    socket.on('error', (error: NodeJS.ErrnoException) => {
      settle(error.code === 'ECONNREFUSED');
    });
  });
}
