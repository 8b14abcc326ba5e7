import { connect, type Socket } from 'node:net';
import type { SeededRandom } from '@burdockrail/common/seededRandom.js';
import type { TimeSource } from '@burdockrail/common/timeSource.js';
import type { EventQueue } from './eventQueue.js';
import { abortSocket } from './abortSocket.js';
import type { LinkCounter } from './linkCounts.js';
import { createLinkFlow, type LinkFlow } from './linkFlow.js';
import type { LinkAddress, LinkMachine } from './linkMachine.js';
import type { LinkBehaviour } from './linkRule.js';
import type { PathFinder } from './linkShape.js';

/** A connection that the proxy carries. */
export interface LinkConnection {
  readonly from: LinkMachine;
  readonly to: LinkMachine;
  /** Delivers what was held back and connects if that was, after the rules have changed. */
  release(): void;
  reset(): void;
}

/** What connections need of the proxy. */
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
 * Carries one accepted connection on to its target.
 *
 * @param onClosed - called when no socket of the connection is open any more. While a rule cuts
 *   the link, the far side stays open long after the near side has gone.
 */
export function createLinkConnection(
  near: Socket,
  from: LinkMachine,
  to: LinkMachine,
  target: LinkAddress,
  options: LinkConnectionOptions,
  onClosed: () => void,
): LinkConnection {
  const { events, time } = options;
  const forward = createFlow(near, from, to, options);
  let backward: LinkFlow | undefined;
  let far: Socket | undefined;
  let twin: Socket | undefined;
  let due = false;

  let openSockets = 0;
  const own = (socket: Socket): void => {
    openSockets += 1;
    socket.once('close', () => {
      openSockets -= 1;
      if (openSockets === 0) onClosed();
    });
  };

  const dial = (): Socket => {
    const localAddress = near.remoteAddress;
    const local = localAddress === undefined ? {} : { localAddress };
    const socket = connect({ ...target, ...local, allowHalfOpen: true });
    socket.setNoDelay(true);
    own(socket);
    return socket;
  };

  const open = (): void => {
    if (far !== undefined || !due || near.destroyed || options.behaviour(from, to).cut) return;
    const socket = dial();
    far = socket;
    if (options.behaviour(from, to).duplicate) {
      twin = dial();
      twin.resume();
      twin.on('error', () => undefined);
    }
    backward = createFlow(socket, to, from, options);
    backward.connectTo(near, undefined);
    forward.connectTo(socket, twin);
  };

  own(near);
  near.setNoDelay(true);
  events.at(time.now() + options.behaviour(from, to).latencyMilliseconds, () => {
    due = true;
    open();
  });

  return {
    from,
    to,
    release: () => {
      open();
      forward.release();
      backward?.release();
    },
    reset: () => {
      for (const socket of [near, far, twin]) abortSocket(socket);
    },
  };
}
