import { connect, type Socket } from 'node:net';
import { abortSocket } from '@burdockrail/common/abortSocket.js';
import type { SeededRandom } from '@burdockrail/common/seededRandom.js';
import type { TimeSource } from '@burdockrail/common/timeSource.js';
import type { EventQueue } from './eventQueue.js';
import type { LinkCounter } from './linkCounts.js';
import { createLinkFlow, type LinkFlow } from './linkFlow.js';
import type { LinkAddress, LinkMachine } from './linkMachine.js';
import type { LinkBehaviour } from './linkRule.js';
import type { PathFinder } from './linkShape.js';

/** A connection through the proxy. */
export interface LinkConnection {
  readonly from: LinkMachine;
  readonly to: LinkMachine;
  /** After a change of rules, delivers held data and opens a held connection. */
  release(): void;
  reset(): void;
}

/** Dependencies of {@link createLinkConnection}. */
export interface LinkConnectionOptions {
  readonly behaviour: (from: LinkMachine, to: LinkMachine) => LinkBehaviour;
  readonly path: PathFinder;
  readonly events: EventQueue;
  readonly time: TimeSource;
  readonly random: SeededRandom;
  readonly counter: LinkCounter;
}

function createFlow(
  source: Socket,
  from: LinkMachine,
  to: LinkMachine,
  options: LinkConnectionOptions,
): LinkFlow {
  return createLinkFlow({
    source,
    path: options.path(from, to),
    behaviour: () => options.behaviour(from, to),
    events: options.events,
    time: options.time,
    random: options.random,
    onBytes: (bytes) => {
      options.counter.add(from, to, bytes);
    },
  });
}

/**
 * Forwards an accepted connection to its target.
 *
 * @param onClosed - called when all sockets of the connection are closed. While a rule cuts the
 *   link, the socket to the target can stay open long after the accepted socket has closed.
 */
export function createLinkConnection(
  acceptedSocket: Socket,
  from: LinkMachine,
  to: LinkMachine,
  target: LinkAddress,
  options: LinkConnectionOptions,
  onClosed: () => void,
): LinkConnection {
  const { events, time } = options;
  const forward = createFlow(acceptedSocket, from, to, options);
  let backward: LinkFlow | undefined;
  let targetSocket: Socket | undefined;
  let duplicateSocket: Socket | undefined;
  let hasLatencyElapsed = false;

  let openSockets = 0;
  const trackSocket = (socket: Socket): void => {
    openSockets += 1;
    socket.once('close', () => {
      openSockets -= 1;
      if (openSockets === 0) onClosed();
    });
  };

  const connectToTarget = (): Socket => {
    const localAddress = acceptedSocket.remoteAddress;
    const localOptions = localAddress === undefined ? {} : { localAddress };
    const socket = connect({ ...target, ...localOptions, allowHalfOpen: true });
    socket.setNoDelay(true);
    trackSocket(socket);
    return socket;
  };

  const openIfAllowed = (): void => {
    if (
      targetSocket !== undefined ||
      !hasLatencyElapsed ||
      acceptedSocket.destroyed ||
      options.behaviour(from, to).cut
    )
      return;
    const socket = connectToTarget();
    targetSocket = socket;
    if (options.behaviour(from, to).duplicate) {
      duplicateSocket = connectToTarget();
      duplicateSocket.resume();
      duplicateSocket.on('error', () => undefined);
    }
    backward = createFlow(socket, to, from, options);
    backward.connectTo(acceptedSocket, undefined);
    forward.connectTo(socket, duplicateSocket);
  };

  trackSocket(acceptedSocket);
  acceptedSocket.setNoDelay(true);
  events.schedule(time.now() + options.behaviour(from, to).latencyMilliseconds, () => {
    hasLatencyElapsed = true;
    openIfAllowed();
  });

  return {
    from,
    to,
    release: () => {
      openIfAllowed();
      forward.release();
      backward?.release();
    },
    reset: () => {
      for (const socket of [acceptedSocket, targetSocket, duplicateSocket]) abortSocket(socket);
    },
  };
}
