/** Agents to which a process recently sent prompt prefixes, and whose caches probably hold them. */
export interface RecentPrefixes {
  /** Records that a prompt with these prefixes was sent to an agent. */
  record(prefixes: readonly string[], agent: string): void;
  /** Number of leading prefixes that were recently sent to the agent. */
  countLeadingMatches(prefixes: readonly string[], agent: string): number;
  /** Removes an agent whose cache was lost. */
  forget(agent: string): void;
}

/** Most prefixes tracked by one process. */
const MAXIMUM_TRACKED_PREFIXES = 8_192;

/** Most agents tracked for one prefix, the most recent last. */
const AGENTS_PER_PREFIX = 4;

/** Creates an empty record that evicts the least recently used prefixes. */
export function createRecentPrefixes(limit: number = MAXIMUM_TRACKED_PREFIXES): RecentPrefixes {
  const agentsByPrefix = new Map<string, readonly string[]>();

  const recordPrefix = (prefix: string, agent: string): void => {
    const agents = agentsByPrefix.get(prefix) ?? [];
    const otherAgents = agents.filter((name) => name !== agent);
    agentsByPrefix.delete(prefix);
    agentsByPrefix.set(prefix, [...otherAgents, agent].slice(-AGENTS_PER_PREFIX));
  };

  const dropOldest = (): void => {
    for (const prefix of agentsByPrefix.keys()) {
      if (agentsByPrefix.size <= limit) return;
      agentsByPrefix.delete(prefix);
    }
  };

  return {
    record: (prefixes, agent) => {
      for (const prefix of prefixes) recordPrefix(prefix, agent);
      dropOldest();
    },
    countLeadingMatches: (prefixes, agent) => {
      const firstMissing = prefixes.findIndex(
        (prefix) => agentsByPrefix.get(prefix)?.includes(agent) !== true,
      );
      return firstMissing === -1 ? prefixes.length : firstMissing;
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
