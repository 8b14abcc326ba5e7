import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { Announcement } from '@burdockrail/protocol/protocolMembership.js';

/** An upstream as known to this process. */
export interface UpstreamView {
  readonly announcement: Announcement;
  /** Local time at which the announcement was last confirmed. */
  readonly confirmedAt: Milliseconds;
}

/** Read access to the membership for the request path. */
export interface UpstreamDirectory {
  /** Present upstreams of a service that are not leaving, in order of their agents' names. */
  upstreamsOf(service: string, now: Milliseconds): readonly UpstreamView[];
  /** The upstream of one agent in any state; `undefined` when unknown. */
  upstream(agent: string, now: Milliseconds): UpstreamView | undefined;
  /** All known upstreams, including leaving ones. */
  all(now: Milliseconds): readonly UpstreamView[];
  /** Number of entries whose lease is valid, including this process. */
  entryCount(now: Milliseconds): number;
}
