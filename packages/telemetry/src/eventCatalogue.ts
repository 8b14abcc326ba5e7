/** Levels of log events, most severe first. */
export type EventLevel = 'error' | 'warn' | 'info' | 'debug';

/** Catalogue entry of one event. */
export interface EventDescription {
  readonly number: number;
  readonly level: EventLevel;
  readonly text: string;
}

/**
 * All log events by name; docs/EVENTS.md is generated from this table.
 *
 * @remarks
 * 1xxx process, 2xxx requests, 3xxx consensus and configuration, 4xxx membership, 5xxx weights,
 * 6xxx connections. A number is never reused for another event.
 */
export const eventCatalogue = {
  processStarted: { number: 1000, level: 'info', text: 'The process is ready.' },
  processStopping: { number: 1001, level: 'info', text: 'The process drains and then exits.' },
  processStopped: { number: 1002, level: 'info', text: 'The process has shut down cleanly.' },
  processFailed: { number: 1003, level: 'error', text: 'The process failed and cannot continue.' },
  logLinesLost: {
    number: 1008,
    level: 'warn',
    text: 'The output refused lines of the log for a while; they are lost.',
  },
  drainCutOff: {
    number: 1005,
    level: 'warn',
    text: 'The drain timeout expired; work in progress is aborted.',
  },
  controllerFailed: {
    number: 1004,
    level: 'error',
    text: 'A controller failed to handle a message.',
  },
  entryListening: { number: 2000, level: 'info', text: 'The entry accepts requests from callers.' },
  ledgerUnanswered: {
    number: 2002,
    level: 'warn',
    text: 'The ledger of a data centre did not answer a command in time.',
  },
  requestCrashedUpstream: {
    number: 2003,
    level: 'warn',
    text: 'An upstream died or was lost while it ran a request; its content is suspect.',
  },
  requestFailed: { number: 2001, level: 'error', text: 'A request failed unexpectedly.' },
  configurationInForce: {
    number: 3000,
    level: 'info',
    text: 'A committed configuration is in force in this process.',
  },
  configurationRefused: {
    number: 3001,
    level: 'warn',
    text: 'A configuration with a lower revision than the one in force was refused.',
  },
  attemptRefused: {
    number: 2100,
    level: 'info',
    text: 'The agent refused an attempt before it started.',
  },
  attemptFailed: {
    number: 2101,
    level: 'warn',
    text: 'An attempt failed at the upstream.',
  },
  rolloutStarted: {
    number: 5000,
    level: 'info',
    text: 'The agent starts to fetch the weights that the configuration names.',
  },
  rolloutFailed: {
    number: 5001,
    level: 'warn',
    text: 'A rollout was interrupted; the agent retries.',
  },
  weightsLive: {
    number: 5002,
    level: 'info',
    text: 'The complete weights were verified and the engine serves them.',
  },
  weightsLost: {
    number: 5003,
    level: 'warn',
    text: 'The engine no longer serves the weights that were live.',
  },
  chunkRejected: {
    number: 5004,
    level: 'warn',
    text: 'A chunk did not match its digest; it was discarded and its source is avoided.',
  },
  orderRefused: {
    number: 5005,
    level: 'warn',
    text: 'An order to the engine was refused because its fencing token is stale.',
  },
  groupFounded: { number: 3002, level: 'info', text: 'A replica became a member of a new group.' },
  groupRoleChanged: {
    number: 3003,
    level: 'info',
    text: 'The role of a replica in its group changed.',
  },
  groupMembershipChanged: {
    number: 3004,
    level: 'info',
    text: 'The members of a group changed.',
  },
  groupResigned: {
    number: 3010,
    level: 'info',
    text: 'A replica announced to its group that its process stops.',
  },
  groupStorageFailed: {
    number: 3005,
    level: 'error',
    text: 'A replica cannot store its log; it takes no part in its group until the disk accepts it.',
  },
  groupStorageRecovered: {
    number: 3008,
    level: 'info',
    text: 'A replica stores its log again and takes part in its group.',
  },
  groupStorageCorrupt: {
    number: 3009,
    level: 'error',
    text: 'Stored data of a replica is corrupt; it takes no further part in its group.',
  },
  storageTailCut: {
    number: 3006,
    level: 'warn',
    text: 'An incomplete record at the end of a log was truncated.',
  },
  configurationSourceChanged: {
    number: 3007,
    level: 'info',
    text: 'The process receives configurations from another source.',
  },
  processVitals: {
    number: 1007,
    level: 'info',
    text: 'Resource usage and bytes sent by the process since its start.',
  },
  settingsReloaded: {
    number: 1006,
    level: 'info',
    text: 'The settings file was reloaded.',
  },
  reloadIgnored: {
    number: 1009,
    level: 'info',
    text: 'The process goes on with the settings that it read at its start, despite SIGHUP.',
  },
  requestEnded: {
    number: 2200,
    level: 'info',
    text: 'An entry sent the final answer to a request.',
  },
  attemptEnded: {
    number: 2201,
    level: 'info',
    text: 'An attempt at an upstream ended without a complete answer.',
  },
  streamContinued: {
    number: 2202,
    level: 'info',
    text: 'An interrupted stream continues at another upstream.',
  },
  placeRefused: {
    number: 2203,
    level: 'info',
    text: 'An agent had no free slot at its engine for a request.',
  },
  contentCrashed: {
    number: 2204,
    level: 'warn',
    text: 'An upstream ended while it ran a request; after three upstreams its content is refused.',
  },
  traitQuarantined: {
    number: 2205,
    level: 'warn',
    text: 'Requests with this content or prompt part are refused, because upstreams crashed under it.',
  },
  upstreamLimited: {
    number: 2206,
    level: 'info',
    text: 'The number of requests per second that an upstream names has changed; null is no limit.',
  },
  upstreamRests: {
    number: 2207,
    level: 'info',
    text: 'An upstream turned a request away and wants no others from this process for a time.',
  },
  upstreamLeaving: {
    number: 2208,
    level: 'info',
    text: 'An upstream said in an answer that it leaves, and gets no further requests.',
  },
  upstreamReturned: {
    number: 2209,
    level: 'info',
    text: 'Another process has taken the place of an upstream that left, and gets requests again.',
  },
  requestsEndedByStop: {
    number: 2210,
    level: 'info',
    text: 'A stopping entry answered what was in progress: not run, may have run, or a stream that had begun and is cut.',
  },
  retryRefused: {
    number: 2211,
    level: 'info',
    text: 'A request was sent to no further upstream, because this entry has no retries left.',
  },
  controlLost: {
    number: 4100,
    level: 'warn',
    text: 'The control process that this process watched does not answer.',
  },
  controlRegained: {
    number: 4101,
    level: 'info',
    text: 'A control process answers again.',
  },
  upstreamChanged: {
    number: 4102,
    level: 'info',
    text: 'The state of an upstream changed at a control process.',
  },
  heartbeatRefused: {
    number: 4103,
    level: 'info',
    text: 'A heartbeat named no usable upstream or was older than the stored record.',
  },
  leaveRefused: {
    number: 4106,
    level: 'info',
    text: 'A message that an upstream leaves named no usable incarnation; the upstream stays.',
  },
  announcementIgnored: {
    number: 4105,
    level: 'warn',
    text: 'An announcement names no upstream that can be used; it is left out.',
  },
  upstreamRecordIgnored: {
    number: 4104,
    level: 'warn',
    text: 'A relayed record names no upstream that can be used; it is left out.',
  },
  departureTaken: {
    number: 4108,
    level: 'info',
    text: 'An upstream said that it leaves; the outcome tells whether a majority of the control processes has this on disk.',
  },
  departuresUnstored: {
    number: 4109,
    level: 'warn',
    text: 'The disk refuses departures of upstreams; this process counts as none of those that hold them.',
  },
  verdictsUnstored: {
    number: 4111,
    level: 'warn',
    text: 'The disk refuses the verdicts on loads; after a restart of all processes loads are read back.',
  },
  verdictsUnreadable: {
    number: 4112,
    level: 'error',
    text: 'The stored verdicts on loads cannot be read; the other control processes hold them too.',
  },
  loadsInherited: {
    number: 4113,
    level: 'info',
    text: 'An agent found loads that it had not ordered; those not vouched for are read back first.',
  },
  departuresUnreadable: {
    number: 4110,
    level: 'error',
    text: 'The stored departures of upstreams cannot be read; the other control processes hold them too.',
  },
  entriesCounted: {
    number: 4107,
    level: 'info',
    text: 'A control process reports another number of entries, among which limits are divided.',
  },
  orderTaken: {
    number: 3100,
    level: 'info',
    text: 'A control process answered an order of an operator.',
  },
  configurationAdopted: {
    number: 3101,
    level: 'info',
    text: 'A process handles requests with a new configuration.',
  },
  configurationOutdated: {
    number: 3102,
    level: 'warn',
    text: 'The age of the configuration rose above or fell below the limit for requests with keys.',
  },
  weightsNamed: {
    number: 5100,
    level: 'info',
    text: 'A process learned that operators named a version of weights.',
  },
  weightsStaged: {
    number: 5101,
    level: 'info',
    text: 'An agent holds all chunks of a version, each verified.',
  },
  weightsOrdered: {
    number: 5102,
    level: 'info',
    text: 'The agent ordered its engine to load staged weights.',
  },
  weightsUnsound: {
    number: 5105,
    level: 'warn',
    text: 'Chunks of a load may have been spoilt when the engine took them; it serves none of it.',
  },
  rolloutSuperseded: {
    number: 5104,
    level: 'info',
    text: 'An agent fetches another version before it has all chunks of this one.',
  },
  engineChanged: {
    number: 5103,
    level: 'info',
    text: 'The engine of the agent reports another state.',
  },
} as const satisfies Readonly<Record<string, EventDescription>>;

export type EventName = keyof typeof eventCatalogue;
