import type { LinkMachine } from './linkMachine.js';

/** Selects the machines that meet all conditions; without conditions, selects every machine. */
export interface MachineSelector {
  readonly machine?: string;
  readonly dataCentre?: string;
  readonly region?: string;
}

/** Faults of the traffic from some machines to others. */
export interface LinkRule {
  readonly from: MachineSelector;
  readonly to: MachineSelector;
  /** True if the rule also applies to the opposite direction. */
  readonly bothWays?: boolean;
  /** Added one-way latency. */
  readonly latencyMilliseconds?: number;
  /** Partition: all traffic is held back without an error, and delivered when the rule ends. */
  readonly cut?: boolean;
  /** Probability per 1024 bytes that one random bit is flipped, 0 to 1. */
  readonly corruptShare?: number;
  /** Data of new connections is also sent over a second connection, whose answers are dropped. */
  readonly duplicate?: boolean;
}

/** Combined faults of one direction between two machines. */
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

/** Returns true if a rule applies to traffic from one machine to another. */
export function ruleApplies(rule: LinkRule, from: LinkMachine, to: LinkMachine): boolean {
  if (selects(rule.from, from) && selects(rule.to, to)) return true;
  return rule.bothWays === true && selects(rule.from, to) && selects(rule.to, from);
}

/** Combines all rules that apply to one direction. */
export function behaviourOf(
  rules: readonly LinkRule[],
  from: LinkMachine,
  to: LinkMachine,
): LinkBehaviour {
  const applicableRules = rules.filter((rule) => ruleApplies(rule, from, to));
  return {
    latencyMilliseconds: applicableRules.reduce(
      (sum, rule) => sum + (rule.latencyMilliseconds ?? 0),
      0,
    ),
    cut: applicableRules.some((rule) => rule.cut === true),
    corruptShare: Math.max(0, ...applicableRules.map((rule) => rule.corruptShare ?? 0)),
    duplicate: applicableRules.some((rule) => rule.duplicate === true),
  };
}
