import type {
  AgreementMessage,
  GroupForm,
  GroupFormReply,
  GroupInspect,
  GroupInspectReply,
  GroupPropose,
  GroupQuery,
  GroupReply,
} from './protocolAgreement.js';
import type {
  AttemptFence,
  AttemptFenceReply,
  AttemptItem,
  AttemptStart,
} from './protocolAttempt.js';
import type {
  ClusterForm,
  ClusterFormReply,
  CommittedConfiguration,
  ConfigurationApply,
  ConfigurationApplyReply,
  ConfigurationWatchItem,
  ProcessStatus,
} from './protocolConfiguration.js';
import type {
  ChunkList,
  ChunkListReply,
  ChunkRead,
  DirectoryWatchReply,
  DepartureHandover,
  DirectoryWatch,
  EngineLimit,
  EngineRest,
  SlotClaim,
  SlotRelease,
  SlotReply,
  SlotWithdrawal,
} from './protocolDirectory.js';
import type {
  Announcement,
  AnnouncementReply,
  DirectoryUpdate,
  LoadUpdate,
  RegistrarHeartbeat,
  AnnouncementRenewal,
  AnnouncementRenewalReply,
} from './protocolMembership.js';
import type {
  QuarantineAdmit,
  QuarantineAdmitReply,
  QuarantineClear,
  QuarantineRelease,
  QuarantineReport,
} from './protocolQuarantine.js';

/** A call with one request and one reply. */
export interface CallShape<Request, Reply> {
  readonly request: Request;
  readonly reply: Reply;
}

/** A call whose reply is a sequence of items. */
export interface StreamShape<Request, Item> {
  readonly request: Request;
  readonly item: Item;
}

/** Calls between processes by kind. Message families extend it by declaration merging. */
export interface PeerCalls {
  'attempt.fence': CallShape<AttemptFence, AttemptFenceReply>;
  'membership.announce': CallShape<Announcement, AnnouncementReply>;
  'membership.load': CallShape<LoadUpdate, AnnouncementRenewalReply>;
  'membership.renew': CallShape<AnnouncementRenewal, AnnouncementRenewalReply>;
  'membership.update': CallShape<DirectoryUpdate, { readonly counter: number }>;
  'membership.list': CallShape<Record<string, never>, readonly Announcement[]>;
  'configuration.apply': CallShape<ConfigurationApply, ConfigurationApplyReply>;
  'configuration.current': CallShape<Record<string, never>, CommittedConfiguration | null>;
  'cluster.form': CallShape<ClusterForm, ClusterFormReply>;
  'group.propose': CallShape<GroupPropose, GroupReply>;
  'group.query': CallShape<GroupQuery, GroupReply>;
  'group.inspect': CallShape<GroupInspect, GroupInspectReply>;
  'group.found': CallShape<GroupForm, GroupFormReply>;
  'quarantine.admit': CallShape<QuarantineAdmit, QuarantineAdmitReply>;
  'quarantine.release': CallShape<QuarantineRelease, Record<string, never>>;
  'quarantine.report': CallShape<QuarantineReport, Record<string, never>>;
  'directory.watch': CallShape<DirectoryWatch, DirectoryWatchReply>;
  'directory.depart': CallShape<DepartureHandover, Record<string, never>>;
  'place.claim': CallShape<SlotClaim, SlotReply>;
  'chunk.list': CallShape<ChunkList, ChunkListReply>;
  /** Answered by the connection itself, however late the handlers of the process are. */
  'connection.ping': CallShape<Record<string, never>, Record<string, never>>;
  'process.status': CallShape<Record<string, never>, ProcessStatus>;
}

/** Streams between processes by kind. */
export interface PeerStreams {
  'chunk.read': StreamShape<ChunkRead, Uint8Array>;
  'attempt.run': StreamShape<AttemptStart, AttemptItem>;
  'configuration.watch': StreamShape<{ readonly knownRevision: number }, ConfigurationWatchItem>;
}

/** One-way messages between processes by kind. */
export interface PeerNotifications {
  'agreement.message': AgreementMessage;
  'membership.beat': RegistrarHeartbeat;
  'place.limit': EngineLimit;
  'place.rest': EngineRest;
  'place.release': SlotRelease;
  'place.withdraw': SlotWithdrawal;
  'quarantine.clear': QuarantineClear;
  'process.leave': { readonly reason: string };
}

export type CallKind = keyof PeerCalls;
export type StreamKind = keyof PeerStreams;
export type NotificationKind = keyof PeerNotifications;
