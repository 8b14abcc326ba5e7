import { once } from 'node:events';
import { createServer, type Server, type Socket } from 'node:net';
import { createSeededRandom } from '@burdockrail/common/seededRandom.js';
import { monotonicClock } from '@burdockrail/common/timeSource.js';
import { createEventQueue } from './eventQueue.js';
import { createLinkConnection, type LinkConnection } from './linkConnection.js';
import { createLinkCounter, type LinkCounts } from './linkCounts.js';
import { unknownMachine, type LinkListener, type LinkMachine } from './linkMachine.js';
import {
  behaviourOf,
  ruleApplies,
  type LinkBehaviour,
  type LinkRule,
  type MachineSelector,
} from './linkRule.js';
import { baseLatency, createPathFinder, type LinkShape } from './linkShape.js';

/** What a proxy carries. */
export interface FaultProxyDescription {
  readonly machines: readonly LinkMachine[];
  readonly listeners: readonly LinkListener[];
  readonly shape: LinkShape;
  /** Seed of random faults. */
  readonly seed?: number;
}

/** A TCP proxy for all links between machines. */
export interface FaultProxy extends AsyncDisposable {
  /** Replaces all rules. */
  setRules(rules: readonly LinkRule[]): Promise<void>;
  /** Resets the connections between machines, whichever side opened them. */
  resetConnections(from: MachineSelector, to: MachineSelector): Promise<void>;
  counts(): Promise<LinkCounts>;
}

const DEFAULT_SEED = 1;

/** Behaviour of each direction, worked out once for each set of rules. */
function createBehaviourTable(
  shape: LinkShape,
  rules: readonly LinkRule[],
): (from: LinkMachine, to: LinkMachine) => LinkBehaviour {
  const known = new Map<string, LinkBehaviour>();
  return (from, to) => {
    const key = `${from.name} ${to.name}`;
    const found = known.get(key);
    if (found !== undefined) return found;
    const ruled = behaviourOf(rules, from, to);
    const latencyMilliseconds = ruled.latencyMilliseconds + baseLatency(shape, from, to);
    const behaviour = { ...ruled, latencyMilliseconds };
    known.set(key, behaviour);
    return behaviour;
  };
}

/** Binds all listeners of a proxy in this process. */
export async function createFaultProxy(description: FaultProxyDescription): Promise<FaultProxy> {
  const { machines, shape } = description;
  const byHost = new Map(machines.map((machine) => [machine.host, machine]));
  const byName = new Map(machines.map((machine) => [machine.name, machine]));
  const events = createEventQueue(monotonicClock);
  const counter = createLinkCounter();
  const connections = new Set<LinkConnection>();
  let behaviour = createBehaviourTable(shape, []);
  const options = {
    behaviour: (from: LinkMachine, to: LinkMachine) => behaviour(from, to),
    path: createPathFinder(shape, events),
    events,
    time: monotonicClock,
    random: createSeededRandom(description.seed ?? DEFAULT_SEED),
    counter,
  };

  const accept = (near: Socket, listener: LinkListener): void => {
    const from = byHost.get(near.remoteAddress ?? '') ?? unknownMachine;
    const to = byName.get(listener.machine) ?? unknownMachine;
    counter.addConnection();
    const connection = createLinkConnection(near, from, to, listener.target, options, () => {
      connections.delete(connection);
    });
    connections.add(connection);
  };

  const bind = async (listener: LinkListener): Promise<Server> => {
    const server = createServer({ allowHalfOpen: true }, (socket) => {
      accept(socket, listener);
    });
    server.listen(listener.listen.port, listener.listen.host);
    await once(server, 'listening');
    return server;
  };
  const servers = await Promise.all(description.listeners.map(bind));

  return {
    setRules: async (rules) => {
      behaviour = createBehaviourTable(shape, rules);
      for (const connection of connections) connection.release();
      return Promise.resolve();
    },
    resetConnections: async (from, to) => {
      const rule = { from, to, bothWays: true };
      for (const connection of [...connections]) {
        if (ruleApplies(rule, connection.from, connection.to)) connection.reset();
      }
      return Promise.resolve();
    },
    counts: async () => Promise.resolve(counter.counts()),
    [Symbol.asyncDispose]: async () => {
      events.clear();
      const closed = servers.map(async (server) => {
        const done = once(server, 'close');
        server.close();
        return done;
      });
      for (const connection of connections) connection.reset();
      await Promise.all(closed);
    },
  };
}
