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

/** Machines, listeners and links of a fault proxy. */
export interface FaultProxyDescription {
  readonly machines: readonly LinkMachine[];
  readonly listeners: readonly LinkListener[];
  readonly shape: LinkShape;
  /** Seed of random faults. */
  readonly seed?: number;
}

/** A TCP proxy that injects faults into the links between machines. */
export interface FaultProxy extends AsyncDisposable {
  /** Replaces all rules. */
  setRules(rules: readonly LinkRule[]): Promise<void>;
  /** Resets the connections between machines, whichever side opened them. */
  resetConnections(from: MachineSelector, to: MachineSelector): Promise<void>;
  counts(): Promise<LinkCounts>;
}

const DEFAULT_SEED = 1;

/** Creates a lookup of the behaviour of each direction, cached until the rules change. */
function createBehaviourTable(
  shape: LinkShape,
  rules: readonly LinkRule[],
): (from: LinkMachine, to: LinkMachine) => LinkBehaviour {
  const behaviours = new Map<string, LinkBehaviour>();
  return (from, to) => {
    const key = `${from.name} ${to.name}`;
    const cached = behaviours.get(key);
    if (cached !== undefined) return cached;
    const fromRules = behaviourOf(rules, from, to);
    const latencyMilliseconds = fromRules.latencyMilliseconds + baseLatency(shape, from, to);
    const behaviour = { ...fromRules, latencyMilliseconds };
    behaviours.set(key, behaviour);
    return behaviour;
  };
}

/** Binds all listeners of a proxy in this process. */
export async function createFaultProxy(description: FaultProxyDescription): Promise<FaultProxy> {
  const { machines, shape } = description;
  const machinesByHost = new Map(machines.map((machine) => [machine.host, machine]));
  const machinesByName = new Map(machines.map((machine) => [machine.name, machine]));
  const events = createEventQueue(monotonicClock);
  const counter = createLinkCounter();
  const connections = new Set<LinkConnection>();
  let findBehaviour = createBehaviourTable(shape, []);
  const options = {
    behaviour: (from: LinkMachine, to: LinkMachine) => findBehaviour(from, to),
    path: createPathFinder(shape, events),
    events,
    time: monotonicClock,
    random: createSeededRandom(description.seed ?? DEFAULT_SEED),
    counter,
  };

  const accept = (socket: Socket, listener: LinkListener): void => {
    const from = machinesByHost.get(socket.remoteAddress ?? '') ?? unknownMachine;
    const to = machinesByName.get(listener.machine) ?? unknownMachine;
    counter.addConnection();
    const connection = createLinkConnection(socket, from, to, listener.target, options, () => {
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
      findBehaviour = createBehaviourTable(shape, rules);
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
        const closing = once(server, 'close');
        server.close();
        return closing;
      });
      for (const connection of connections) connection.reset();
      await Promise.all(closed);
    },
  };
}
