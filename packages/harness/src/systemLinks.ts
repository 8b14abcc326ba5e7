import type { FaultProxy } from '@burdockrail/faultproxy/faultProxy.js';
import type { LinkCounts } from '@burdockrail/faultproxy/linkCounts.js';
import type { LinkRule, MachineSelector } from '@burdockrail/faultproxy/linkRule.js';

/** Fault injection on the links of a running system. */
export interface SystemLinks {
  /** Adds a rule; the returned function removes it. */
  addRule(rule: LinkRule): Promise<() => Promise<void>>;
  /** Cuts all traffic between two sets of machines; the returned function heals the partition. */
  cut(from: MachineSelector, to: MachineSelector): Promise<() => Promise<void>>;
  /** Removes all rules. */
  heal(): Promise<void>;
  resetConnections(from: MachineSelector, to: MachineSelector): Promise<void>;
  counts(): Promise<LinkCounts>;
}

/** Creates the fault injection of a system; without a proxy every call throws. */
export function createSystemLinks(proxy: FaultProxy | undefined): SystemLinks {
  const rules = new Set<LinkRule>();
  const requireProxy = (): FaultProxy => {
    if (proxy === undefined) throw new Error('no fault proxy: the layout has no `links`');
    return proxy;
  };
  const addRule = async (rule: LinkRule): Promise<() => Promise<void>> => {
    rules.add(rule);
    await requireProxy().setRules([...rules]);
    return async () => {
      rules.delete(rule);
      await requireProxy().setRules([...rules]);
    };
  };
  return {
    addRule,
    cut: async (from, to) => addRule({ from, to, bothWays: true, cut: true }),
    heal: async () => {
      rules.clear();
      await requireProxy().setRules([]);
    },
    resetConnections: async (from, to) => requireProxy().resetConnections(from, to),
    counts: async () => requireProxy().counts(),
  };
}
