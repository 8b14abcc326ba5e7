/** Time between two announcements or renewals of an agent, in milliseconds. */
export const ANNOUNCEMENT_INTERVAL_MILLISECONDS = 400;

/** Lease of an agent or registrar, which its messages renew, in milliseconds. */
export const MEMBERSHIP_LEASE_MILLISECONDS = 1_500;

/** Time between two updates of a registrar to another entry without changes, in milliseconds. */
export const REGISTRAR_HEARTBEAT_MILLISECONDS = 400;

/** Minimum time between two forwarded load reports of one agent, in milliseconds. */
export const LOAD_FORWARD_INTERVAL_MILLISECONDS = 1_000;

/** Time for which a departure is kept for entries that missed it, in milliseconds. */
export const DEPARTURE_RETENTION_MILLISECONDS = 30_000;

/** Number of entries in its data centre that an agent announces itself to. */
export const REGISTRARS_PER_AGENT = 2;

/** Prefixes per upstream that a directory keeps; the oldest are dropped. */
export const MAXIMUM_PREFIXES = 64;
