import type { FaultProxy } from '@burdockrail/faultproxy/faultProxy.js';
import type { LinkCounts } from '@burdockrail/faultproxy/linkCounts.js';
import type { LinkRule, MachineSelector } from '@burdockrail/faultproxy/linkRule.js';

/** Faults of the links of a running system. */
export interface SystemLinks {
  /** Adds a rule; the result takes it away again. */
  add(rule: LinkRule): Promise<() => Promise<void>>;
  /** Cuts all traffic between two sets of machines, both ways; the result heals it. */
  cut(from: MachineSelector, to: MachineSelector): Promise<() => Promise<void>>;
  /** Takes all rules away. */
  heal(): Promise<void>;
  reset(from: MachineSelector, to: MachineSelector): Promise<void>;
  counts(): Promise<LinkCounts>;
}

/** Creates the faults of a system; without a proxy every call is refused. */
export function createSystemLinks(proxy: FaultProxy | undefined): SystemLinks {
  const rules = new Set<LinkRule>();
  const present = (): FaultProxy => {
    if (proxy === undefined) throw new Error('the layout has no links, so there is no proxy');
    return proxy;
  };
  const add = async (rule: LinkRule): Promise<() => Promise<void>> => {
    rules.add(rule);
    await present().setRules([...rules]);
    return async () => {
      rules.delete(rule);
      await present().setRules([...rules]);
    };
  };
  return {
    add,
    cut: async (from, to) => add({ from, to, bothWays: true, cut: true }),
    heal: async () => {
      rules.clear();
      await present().setRules([]);
    },
    reset: async (from, to) => present().resetConnections(from, to),
    counts: async () => present().counts(),
  };
}
