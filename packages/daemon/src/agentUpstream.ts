import type { AnnouncementBody } from '@burdockrail/membership/announcerState.js';
import type { PeerHandlers } from '@burdockrail/transport/peerHandlers.js';
import type { AgentSettings } from '@burdockrail/settings/settingsSchema.js';
import type { DaemonContext } from './daemonRole.js';
import type { AttemptGate } from './attemptGate.js';
import type { AttemptUpstream } from './attemptUpstream.js';

/** The upstream's part of an agent's announcement. */
export type UpstreamAnnouncement = Pick<
  AnnouncementBody,
  'serving' | 'ready' | 'load' | 'prefixes' | 'rollout'
>;

/** Upstream of an agent, of any kind. */
export interface AgentUpstream extends AsyncDisposable {
  readonly handlers: Partial<PeerHandlers>;
  readonly announcement: UpstreamAnnouncement;
  /** Digest of the weights that serve new attempts; undefined for plain services. */
  readonly servedDigest: string | undefined;
  /** Returns whether an answer from these weights may be sent to a caller. */
  readonly allowsDigest: (digest: string) => boolean;
  /** Number of restarts of the upstream that were noticed. */
  readonly restarts: number;
  start(): Promise<void>;
}

/** Options of an {@link AgentUpstreamFactory}. */
export interface AgentUpstreamOptions {
  readonly context: DaemonContext;
  readonly settings: AgentSettings;
  readonly attemptUpstream: AttemptUpstream;
  /** Called when the announcement has changed and should be sent immediately. */
  readonly onChanged: () => void;
  /** Gate through which all attempts pass. */
  readonly gate: AttemptGate;
}

/** Creates the upstream of an agent. */
export type AgentUpstreamFactory = (options: AgentUpstreamOptions) => AgentUpstream;
