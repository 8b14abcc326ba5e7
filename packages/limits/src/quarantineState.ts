import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/** Time for which a content stays suspect after its last crash, in milliseconds. */
const SUSPICION_MILLISECONDS = 600_000;

/** Time for which a content is refused after its second crash, in milliseconds. */
const FIRST_QUARANTINE_MILLISECONDS = 60_000;

/** Longest time for which a content is refused, in milliseconds. */
const LONGEST_QUARANTINE_MILLISECONDS = 3_600_000;

/** Contents remembered at most; the oldest are forgotten first. */
const REMEMBERED_CONTENTS = 10_000;

/** An upstream that died, or was lost, while it ran a content. */
export interface CrashReport {
  /** Digest of the request's method, path and body. */
  readonly content: string;
  readonly agent: string;
  /** True when the run had a grant because the content was suspect before. */
  readonly granted: boolean;
}

/** What is held of a content. */
export type ContentStanding =
  | { readonly kind: 'clear' }
  /** It may run on one upstream at a time, under a grant. */
  | { readonly kind: 'suspect' }
  | { readonly kind: 'quarantined'; readonly until: Milliseconds };

/** Crashes by content, as one entry knows them. */
export interface QuarantineState {
  crashed(report: CrashReport, now: Milliseconds): void;
  /** The content ran to its end, so the crashes had another cause. */
  cleared(content: string): void;
  standing(content: string, now: Milliseconds): ContentStanding;
}

interface ContentRecord {
  readonly agents: ReadonlySet<string>;
  readonly quarantines: number;
  readonly quarantinedUntil: Milliseconds;
  readonly crashedAt: Milliseconds;
}

const newRecord: ContentRecord = {
  agents: new Set(),
  quarantines: 0,
  quarantinedUntil: Number.NEGATIVE_INFINITY,
  crashedAt: Number.NEGATIVE_INFINITY,
};

/**
 * Creates a state without crashes.
 *
 * @remarks
 * Crashes of one upstream reported by several entries count once, because one death takes all its
 * requests with it. A second upstream, or a crash under a grant, leads to quarantine; each further
 * quarantine of the same content lasts twice as long.
 *
 * @param upstreams - upstreams whose crashes lead to quarantine; more where crashes are no proof.
 */
export function createQuarantineState(upstreams = 2): QuarantineState {
  const records = new Map<string, ContentRecord>();

  const store = (content: string, record: ContentRecord): void => {
    records.delete(content);
    records.set(content, record);
    const [oldest] = records.keys();
    if (records.size > REMEMBERED_CONTENTS && oldest !== undefined) records.delete(oldest);
  };

  const quarantine = (record: ContentRecord, now: Milliseconds): ContentRecord => {
    if (now < record.quarantinedUntil) return record;
    const time = Math.min(
      FIRST_QUARANTINE_MILLISECONDS * 2 ** record.quarantines,
      LONGEST_QUARANTINE_MILLISECONDS,
    );
    return { ...record, quarantines: record.quarantines + 1, quarantinedUntil: now + time };
  };

  return {
    crashed: ({ content, agent, granted }, now) => {
      const record = records.get(content) ?? newRecord;
      const agents = new Set([...record.agents, agent]);
      const next = { ...record, agents, crashedAt: now };
      store(content, granted || agents.size >= upstreams ? quarantine(next, now) : next);
    },
    cleared: (content) => {
      records.delete(content);
    },
    standing: (content, now) => {
      const record = records.get(content);
      if (record === undefined || now > record.crashedAt + SUSPICION_MILLISECONDS) {
        if (record === undefined || now >= record.quarantinedUntil) return { kind: 'clear' };
      }
      if (now >= record.quarantinedUntil) return { kind: 'suspect' };
      return { kind: 'quarantined', until: record.quarantinedUntil };
    },
  };
}
