import type { AnnouncementBody } from '@burdockrail/membership/announcerState.js';
import type { PeerHandlers } from '@burdockrail/transport/peerHandlers.js';
import type { AgentSettings } from '@burdockrail/settings/settingsSchema.js';
import type { DaemonContext } from './daemonRole.js';
import type { AttemptGate } from './attemptGate.js';
import type { AttemptUpstream } from './attemptUpstream.js';

/** What an agent announces of its upstream. */
export type UpstreamPresence = Pick<
  AnnouncementBody,
  'serving' | 'ready' | 'load' | 'prefixes' | 'rollout'
>;

/** The upstream of an agent, whatever its kind. */
export interface AgentUpstream extends AsyncDisposable {
  readonly handlers: Partial<PeerHandlers>;
  readonly presence: UpstreamPresence;
  /** Digest that new attempts are answered with; undefined for plain services. */
  readonly servedDigest: string | undefined;
  /** Tells whether an answer of these weights may be given to a caller. */
  readonly allowsDigest: (digest: string) => boolean;
  start(): Promise<void>;
}

/** What the creation of an upstream needs. */
export interface AgentUpstreamOptions {
  readonly context: DaemonContext;
  readonly settings: AgentSettings;
  readonly attempts: AttemptUpstream;
  /** Called when the presence changed so that entries should know at once. */
  readonly changed: () => void;
  /** Gate that all attempts pass. */
  readonly gate: AttemptGate;
}

/** Creates the upstream of an agent. */
export type AgentUpstreamFactory = (options: AgentUpstreamOptions) => AgentUpstream;
