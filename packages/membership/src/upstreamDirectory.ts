import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { Announcement } from '@burdockrail/protocol/protocolMembership.js';

/** An upstream as this process knows it. */
export interface UpstreamView {
  readonly announcement: Announcement;
  /** Local time at which the announcement was last confirmed. */
  readonly confirmedAt: Milliseconds;
}

/** What the request path reads of the membership. */
export interface UpstreamDirectory {
  /** Present upstreams of a service that are not leaving, in order of their agents' names. */
  upstreamsOf(service: string, now: Milliseconds): readonly UpstreamView[];
  /** The upstream of one agent, whatever its state, as long as it is known. */
  upstream(agent: string, now: Milliseconds): UpstreamView | undefined;
  /** All known upstreams, leaving ones among them. */
  all(now: Milliseconds): readonly UpstreamView[];
  /** Entries that were heard of within the lease, this process among them. */
  entryCount(now: Milliseconds): number;
}
