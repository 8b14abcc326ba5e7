/**
 * Property names that frames and stored records carry as small numbers.
 *
 * @remarks
 * A name's number is its place in this list, so names are only ever added at the end: processes of
 * two versions talk to each other, and logs outlast a version. Other names travel as texts.
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

/** Numbers of the names, starting at 1. */
export const frameKeyMap: Readonly<Record<string, number>> = Object.fromEntries(
  frameKeyNames.map((name, place) => [name, place + 1]),
);
