/** Time between two announcements or renewals of an agent, in milliseconds. */
export const ANNOUNCEMENT_INTERVAL_MILLISECONDS = 400;

/** Time after which a silent agent or registrar is no longer relied on, in milliseconds. */
export const MEMBERSHIP_LEASE_MILLISECONDS = 1_500;

/** Time between two updates of a registrar to another entry when nothing changes. */
export const REGISTRAR_HEARTBEAT_MILLISECONDS = 400;

/** Shortest time between two forwarded load reports of one agent, in milliseconds. */
export const LOAD_FORWARD_INTERVAL_MILLISECONDS = 1_000;

/** Time that a departure is remembered for entries that missed it, in milliseconds. */
export const DEPARTURE_MEMORY_MILLISECONDS = 30_000;

/** Entries of its data centre that an agent announces itself to. */
export const REGISTRARS_PER_AGENT = 2;

/** Prefixes of one upstream that a directory remembers. */
export const PREFIXES_REMEMBERED = 64;
