import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/** Time for which a content stays suspected after its last crash, in milliseconds. */
const SUSPICION_MILLISECONDS = 600_000;

/** Duration of a content's first quarantine, in milliseconds. */
const FIRST_QUARANTINE_MILLISECONDS = 60_000;

/** Longest quarantine, in milliseconds. */
const LONGEST_QUARANTINE_MILLISECONDS = 3_600_000;

/** Most contents tracked; those whose last crash is oldest are dropped first. */
const MAXIMUM_TRACKED_CONTENTS = 10_000;

/** An upstream that crashed, or was lost, while it processed a request content. */
export interface CrashReport {
  /** Digest of the request's method, path and body. */
  readonly content: string;
  readonly agent: string;
  /** True when the run was granted because the content was already suspected. */
  readonly granted: boolean;
}

/** Quarantine status of a request content. */
export type ContentStatus =
  | { readonly kind: 'clear' }
  /** It may run on one upstream at a time, with a grant. */
  | { readonly kind: 'suspect' }
  | { readonly kind: 'quarantined'; readonly until: Milliseconds };

/** Crashes by request content, as known to one entry. */
export interface QuarantineState {
  recordCrash(report: CrashReport, now: Milliseconds): void;
  /** The content ran to completion, so its crashes had another cause. */
  recordCompletion(content: string): void;
  statusOf(content: string, now: Milliseconds): ContentStatus;
}

interface ContentRecord {
  readonly agents: ReadonlySet<string>;
  readonly quarantineCount: number;
  readonly quarantinedUntil: Milliseconds;
  readonly crashedAt: Milliseconds;
}

const newRecord: ContentRecord = {
  agents: new Set(),
  quarantineCount: 0,
  quarantinedUntil: Number.NEGATIVE_INFINITY,
  crashedAt: Number.NEGATIVE_INFINITY,
};

/**
 * Creates a state without crashes.
 *
 * @remarks
 * Crashes of one upstream reported by several entries count once, because a crash interrupts all
 * requests of the upstream. Crashes of `upstreamThreshold` upstreams, or one crash of a granted
 * run, lead to quarantine; each further quarantine of the same content lasts twice as long.
 *
 * @param upstreamThreshold - upstreams whose crashes lead to quarantine; higher where a crash may
 * have other causes.
 */
export function createQuarantineState(upstreamThreshold = 2): QuarantineState {
  const records = new Map<string, ContentRecord>();

  const saveRecord = (content: string, record: ContentRecord): void => {
    records.delete(content);
    records.set(content, record);
    const [oldest] = records.keys();
    if (records.size > MAXIMUM_TRACKED_CONTENTS && oldest !== undefined) records.delete(oldest);
  };

  const quarantine = (record: ContentRecord, now: Milliseconds): ContentRecord => {
    if (now < record.quarantinedUntil) return record;
    const duration = Math.min(
      FIRST_QUARANTINE_MILLISECONDS * 2 ** record.quarantineCount,
      LONGEST_QUARANTINE_MILLISECONDS,
    );
    return {
      ...record,
      quarantineCount: record.quarantineCount + 1,
      quarantinedUntil: now + duration,
    };
  };

  return {
    recordCrash: ({ content, agent, granted }, now) => {
      const record = records.get(content) ?? newRecord;
      const agents = new Set([...record.agents, agent]);
      const next = { ...record, agents, crashedAt: now };
      saveRecord(
        content,
        granted || agents.size >= upstreamThreshold ? quarantine(next, now) : next,
      );
    },
    recordCompletion: (content) => {
      records.delete(content);
    },
    statusOf: (content, now) => {
      const record = records.get(content);
      if (record === undefined || now > record.crashedAt + SUSPICION_MILLISECONDS) {
        if (record === undefined || now >= record.quarantinedUntil) return { kind: 'clear' };
      }
      if (now >= record.quarantinedUntil) return { kind: 'suspect' };
      return { kind: 'quarantined', until: record.quarantinedUntil };
    },
  };
}
