/**
 * Property names that frames and stored records encode as small integers.
 *
 * @remarks
 * The integer of a name is its position in this list. New names must be appended, because processes
 * of different releases exchange frames and stored logs outlive a release. Names that are not
 * listed are encoded as strings.
 */
const frameKeyNames = [
  ...['kind', 'group', 'message', 'groupId', 'from', 'to', 'body', 'term', 'previousIndex'],
  ...['previousTerm', 'entries', 'commitIndex', 'round', 'sentAt', 'index', 'accepted', 'payload'],
  ...['command', 'key', 'digest', 'attempt', 'attemptId', 'agent', 'incarnation', 'sequence'],
  ...['dataCentre', 'region', 'address', 'host', 'port', 'service', 'state', 'ready', 'serving'],
  ...['model', 'version', 'adapters', 'load', 'running', 'waiting', 'capacity', 'cacheUse'],
  ...['prefixes', 'rollout', 'heldChunks', 'chunks', 'registrar', 'counter', 'since'],
  ...['announcements', 'departed', 'loads', 'loadRegistrar', 'known', 'revision', 'knownRevision'],
  ...['document', 'orderId', 'expectedRevision', 'name', 'roles', 'agentIncarnation', 'team'],
  ...['priority', 'method', 'path', 'headers', 'versionDigest', 'timeoutMilliseconds', 'status'],
  ...['bytes', 'code', 'run', 'detail', 'upstreamCrashed', 'answer', 'at', 'receivedAt', 'value'],
  ...['members', 'member', 'id', 'durable', 'voters', 'learners', 'membership', 'snapshot', 'data'],
  ...['granted', 'trial', 'lastIndex', 'lastTerm', 'request', 'query', 'reply', 'item', 'chunk'],
  ...['indices', 'ageMilliseconds', 'queuedBytes', 'chunkSize', 'size', 'reason', 'leader'],
] as const;

/** Integer of each name, starting at 1. */
export const frameKeyMap: Readonly<Record<string, number>> = Object.fromEntries(
  frameKeyNames.map((name, index) => [name, index + 1]),
);
