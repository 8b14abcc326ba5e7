/** Which agents a process lately sent a prompt prefix to. */
export interface PrefixMemory {
  /** Notes that a prompt with these prefixes went to an agent. */
  note(prefixes: readonly string[], agent: string): void;
  /** Leading prefixes that the agent was sent lately. */
  matches(prefixes: readonly string[], agent: string): number;
  /** Forgets an agent whose cache is gone. */
  forget(agent: string): void;
}

/** Prefixes remembered by one process. */
const REMEMBERED_PREFIXES = 8_192;

/** Agents remembered for one prefix, the latest last. */
const AGENTS_PER_PREFIX = 4;

/** Creates an empty memory that drops the prefixes unused for longest. */
export function createPrefixMemory(limit: number = REMEMBERED_PREFIXES): PrefixMemory {
  const agentsByPrefix = new Map<string, readonly string[]>();

  const noteOne = (prefix: string, agent: string): void => {
    const known = agentsByPrefix.get(prefix) ?? [];
    const others = known.filter((name) => name !== agent);
    agentsByPrefix.delete(prefix);
    agentsByPrefix.set(prefix, [...others, agent].slice(-AGENTS_PER_PREFIX));
  };

  const dropOldest = (): void => {
    for (const prefix of agentsByPrefix.keys()) {
      if (agentsByPrefix.size <= limit) return;
      agentsByPrefix.delete(prefix);
    }
  };

  return {
    note: (prefixes, agent) => {
      for (const prefix of prefixes) noteOne(prefix, agent);
      dropOldest();
    },
    matches: (prefixes, agent) => {
      const missing = prefixes.findIndex(
        (prefix) => agentsByPrefix.get(prefix)?.includes(agent) !== true,
      );
      return missing === -1 ? prefixes.length : missing;
    },
    forget: (agent) => {
      for (const [prefix, agents] of agentsByPrefix) {
        if (!agents.includes(agent)) continue;
        agentsByPrefix.set(
          prefix,
          agents.filter((name) => name !== agent),
        );
      }
    },
  };
}
