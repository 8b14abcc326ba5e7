import type { LinkMachine } from './linkMachine.js';

/** Machines that a rule is about; all conditions must hold, none means every machine. */
export interface MachineSelector {
  readonly machine?: string;
  readonly dataCentre?: string;
  readonly region?: string;
}

/** Behaviour of the traffic from some machines to others. */
export interface LinkRule {
  readonly from: MachineSelector;
  readonly to: MachineSelector;
  /** Whether the rule is also about the way back. */
  readonly bothWays?: boolean;
  /** Added one-way latency. */
  readonly latencyMilliseconds?: number;
  /** Nothing arrives any more, and nobody is told; what was sent arrives after the rule ends. */
  readonly cut?: boolean;
  /** Chance that a byte at a random place in a kilobyte is changed, 0 to 1. */
  readonly corruptShare?: number;
  /** New connections are replayed to a second connection whose answers are dropped. */
  readonly duplicate?: boolean;
}

/** Sum of all rules for one direction between two machines. */
export interface LinkBehaviour {
  readonly latencyMilliseconds: number;
  readonly cut: boolean;
  readonly corruptShare: number;
  readonly duplicate: boolean;
}

function selects(selector: MachineSelector, machine: LinkMachine): boolean {
  const { machine: name, dataCentre, region } = selector;
  if (name !== undefined && name !== machine.name) return false;
  if (dataCentre !== undefined && dataCentre !== machine.dataCentre) return false;
  return region === undefined || region === machine.region;
}

/** Tells whether a rule is about traffic from one machine to another. */
export function ruleApplies(rule: LinkRule, from: LinkMachine, to: LinkMachine): boolean {
  if (selects(rule.from, from) && selects(rule.to, to)) return true;
  return rule.bothWays === true && selects(rule.from, to) && selects(rule.to, from);
}

/** Joins all rules about one direction. */
export function behaviourOf(
  rules: readonly LinkRule[],
  from: LinkMachine,
  to: LinkMachine,
): LinkBehaviour {
  const applying = rules.filter((rule) => ruleApplies(rule, from, to));
  return {
    latencyMilliseconds: applying.reduce((sum, rule) => sum + (rule.latencyMilliseconds ?? 0), 0),
    cut: applying.some((rule) => rule.cut === true),
    corruptShare: Math.max(0, ...applying.map((rule) => rule.corruptShare ?? 0)),
    duplicate: applying.some((rule) => rule.duplicate === true),
  };
}
