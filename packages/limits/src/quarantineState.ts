import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { createRecentMap } from '@burdockrail/common/recentMap.js';

/** Time for which a trait stays suspected after its last crash, in milliseconds. */
const SUSPICION_MILLISECONDS = 600_000;

/** Duration of a trait's first quarantine, in milliseconds. */
const FIRST_QUARANTINE_MILLISECONDS = 600_000;

/** Longest quarantine, in milliseconds. */
const LONGEST_QUARANTINE_MILLISECONDS = 7_200_000;

/** Most traits tracked; those whose last crash is oldest are dropped first. */
const MAXIMUM_TRACKED_TRAITS = 10_000;

/** Most ended upstreams whose cause is remembered. */
const MAXIMUM_EXPLAINED_CRASHES = 2_000;

/** Upstreams that must crash under a part; fewer may be coincidence. */
const PART_THRESHOLD = 3;

/** Multiple of the threshold for a trait under which requests have run to completion before. */
const SOUND_FACTOR = 3;

/** Different requests that must crash upstreams before a part that they share is blamed. */
const PART_CONTENTS = 2;

/** What requests have in common, so that crashes can be traced to it. */
export interface RequestTraits {
  /** Digest of the whole request; equal requests have the same. */
  readonly content: string;
  /** Ids of what other requests may share, such as parts of a prompt, the most shared first. */
  readonly parts: readonly string[];
}

/** An upstream that crashed, or was lost, while it processed a request. */
export interface CrashReport extends RequestTraits {
  /** The upstream's incarnation, because a restarted upstream may crash again. */
  readonly agent: string;
  /** True when the run was granted because the content was already suspected. */
  readonly granted: boolean;
}

/** Quarantine status of a request; only whole contents are suspected. */
export type ContentStatus =
  | { readonly kind: 'clear' }
  /** It may run on one upstream at a time, with a grant. */
  | { readonly kind: 'suspect' }
  | {
      readonly kind: 'quarantined';
      readonly until: Milliseconds;
      /** True if equal requests are in quarantine; false if all with one part are. */
      readonly isContent: boolean;
    };

/** What a crash report showed. */
export interface CrashFinding {
  /** Trait that is quarantined because of this report; `null` if none is. */
  readonly quarantined: string | null;
  /** Reported traits under which requests have run to completion here. */
  readonly soundTraits: readonly string[];
}

/** Crashes by request trait, as known to one entry. */
export interface QuarantineState {
  recordCrash(report: CrashReport, now: Milliseconds): CrashFinding;
  /** A trait that another process has put in quarantine. */
  recordQuarantine(trait: string, now: Milliseconds): void;
  /**
   * A request ran to completion, so crashes under its traits had another cause; returns the traits
   * that were suspected.
   */
  recordCompletion(traits: RequestTraits, now: Milliseconds): readonly string[];
  /** Another process has seen requests with these traits run to completion. */
  recordSound(traits: readonly string[], now: Milliseconds): void;
  /** True if requests with the trait are known to have run to completion. */
  isSound(trait: string): boolean;
  /** Status of a request: that of the trait which restricts it most. */
  statusOf(traits: RequestTraits, now: Milliseconds): ContentStatus;
  /** Highest number of upstreams that crashed under one trait since it last ran to completion. */
  crashesUnder(traits: RequestTraits): number;
  /** Traits in quarantine. */
  quarantinedTraits(now: Milliseconds): readonly string[];
}

interface TraitRecord {
  /** Crashed upstreams, each with the content of the request that it ran. */
  readonly crashes: ReadonlyMap<string, string>;
  readonly quarantineCount: number;
  readonly quarantinedUntil: Milliseconds;
  readonly crashedAt: Milliseconds;
}

const newRecord: TraitRecord = {
  crashes: new Map(),
  quarantineCount: 0,
  quarantinedUntil: Number.NEGATIVE_INFINITY,
  crashedAt: Number.NEGATIVE_INFINITY,
};

/**
 * Creates a state without crashes.
 *
 * @remarks
 * A crash interrupts all requests of its upstream and has one cause, so a trait is quarantined only
 * when several upstreams crashed under it, and then explains these crashes: they no longer count
 * against the other requests that they interrupted. Equal requests are blamed as a whole; a part is
 * blamed when requests crash that have nothing else in common. What has run to completion before
 * takes more crashes: several causes can interrupt it by chance. Each further quarantine of a trait
 * lasts twice as long, and one crash after the last is enough for it.
 *
 * @param contentThreshold - upstreams whose crashes quarantine equal requests; higher where a crash
 * may have other causes.
 * @param stretch - fraction from 0 to 1 by which quarantines last longer. If it differs between
 * entries, the first request after a quarantine runs at one of them while the others still refuse.
 */
export function createQuarantineState(contentThreshold = 2, stretch = 0): QuarantineState {
  const records = createRecentMap<TraitRecord>(MAXIMUM_TRACKED_TRAITS);
  const explainedCrashes = createRecentMap<string>(MAXIMUM_EXPLAINED_CRASHES);
  // Contents are many; they must not displace the parts, of which there are few.
  const soundTraits = createRecentMap<Milliseconds>(MAXIMUM_TRACKED_TRAITS);
  const soundContents = createRecentMap<Milliseconds>(MAXIMUM_TRACKED_TRAITS);

  const extendQuarantine = (record: TraitRecord, now: Milliseconds): TraitRecord => {
    if (now < record.quarantinedUntil) return record;
    const duration =
      (1 + stretch) *
      Math.min(
        FIRST_QUARANTINE_MILLISECONDS * 2 ** record.quarantineCount,
        LONGEST_QUARANTINE_MILLISECONDS,
      );
    return {
      ...record,
      quarantineCount: record.quarantineCount + 1,
      quarantinedUntil: now + duration,
    };
  };

  const addCrash = (trait: string, { agent, content }: CrashReport, now: Milliseconds): void => {
    const record = records.get(trait) ?? newRecord;
    const isRecent = now <= record.crashedAt + SUSPICION_MILLISECONDS;
    const crashes = new Map([...(isRecent ? record.crashes : []), [agent, content] as const]);
    records.set(trait, { ...record, crashes, crashedAt: now });
  };

  const isSound = (trait: string): boolean => soundTraits.has(trait) || soundContents.has(trait);

  const thresholdOf = (trait: string, threshold: number): number =>
    isSound(trait) ? threshold * SOUND_FACTOR : threshold;

  /** True if the crashes show that the part crashes upstreams, whatever else a request holds. */
  const isPartToBlame = (part: string): boolean => {
    const { crashes, quarantineCount } = records.get(part) ?? newRecord;
    if (quarantineCount > 0) return true;
    return (
      crashes.size >= thresholdOf(part, PART_THRESHOLD) &&
      new Set(crashes.values()).size >= PART_CONTENTS
    );
  };

  const isContentToBlame = (content: string): boolean => {
    const { crashes, quarantineCount } = records.get(content) ?? newRecord;
    return quarantineCount > 0 || crashes.size >= thresholdOf(content, contentThreshold);
  };

  const findCulprit = ({ content, parts, granted }: CrashReport): string | null => {
    if (granted || isContentToBlame(content)) return content;
    const crashCount = (part: string): number => records.get(part)?.crashes.size ?? 0;
    // Of parts with equally many crashes the least shared one is blamed.
    return parts.filter(isPartToBlame).reduce<string | null>((worst, part) => {
      return worst === null || crashCount(part) >= crashCount(worst) ? part : worst;
    }, null);
  };

  /** Drops the crashes that a culprit explains from the records of everything else. */
  const explainCrashes = (culprit: string, isContent: boolean): void => {
    const explained = records.get(culprit)?.crashes ?? new Map<string, string>();
    for (const agent of explained.keys()) explainedCrashes.set(agent, culprit);
    for (const [trait, record] of [...records]) {
      if (trait === culprit || record.crashes.size === 0) continue;
      const remaining = [...record.crashes].filter(
        // Equal requests may also crash because of a part that they share with others.
        ([agent, content]) => !explained.has(agent) || (isContent && content === culprit),
      );
      if (remaining.length < record.crashes.size)
        records.set(trait, { ...record, crashes: new Map(remaining) });
    }
  };

  const quarantine = (trait: string, now: Milliseconds): void => {
    records.set(trait, extendQuarantine(records.get(trait) ?? newRecord, now));
  };

  const quarantineEnd = (trait: string): Milliseconds =>
    records.get(trait)?.quarantinedUntil ?? Number.NEGATIVE_INFINITY;

  const isSuspect = (content: string, now: Milliseconds): boolean => {
    const record = records.get(content);
    if (record === undefined) return false;
    const hasCrashed = record.crashes.size > 0 || record.quarantineCount > 0;
    const lastEventAt = Math.max(record.crashedAt, record.quarantinedUntil);
    return hasCrashed && now <= lastEventAt + SUSPICION_MILLISECONDS;
  };

  return {
    recordCrash: (report, now) => {
      const { content, parts, agent } = report;
      const traits = [...parts, content];
      const sound = traits.filter(isSound);
      const explanation = explainedCrashes.get(agent);
      const blamed =
        explanation === undefined ? traits : traits.filter((trait) => trait === explanation);
      if (blamed.length === 0) return { quarantined: null, soundTraits: sound };
      for (const trait of blamed) addCrash(trait, report, now);
      const culprit = findCulprit(report);
      if (culprit === null) return { quarantined: null, soundTraits: sound };
      const wasQuarantined = now < quarantineEnd(culprit);
      quarantine(culprit, now);
      explainCrashes(culprit, culprit === content);
      return { quarantined: wasQuarantined ? null : culprit, soundTraits: sound };
    },
    recordQuarantine: quarantine,
    recordCompletion: ({ content, parts }, now) => {
      const suspected = [...parts, content].filter((trait) => records.delete(trait));
      for (const part of parts) soundTraits.set(part, now);
      soundContents.set(content, now);
      return suspected;
    },
    recordSound: (traits, now) => {
      for (const trait of traits) {
        records.delete(trait);
        soundTraits.set(trait, now);
      }
    },
    isSound,
    statusOf: ({ content, parts }, now) => {
      const partsEnd = Math.max(...parts.map(quarantineEnd), Number.NEGATIVE_INFINITY);
      if (now < partsEnd) return { kind: 'quarantined', until: partsEnd, isContent: false };
      const until = quarantineEnd(content);
      if (now < until) return { kind: 'quarantined', until, isContent: true };
      return isSuspect(content, now) ? { kind: 'suspect' } : { kind: 'clear' };
    },
    crashesUnder: ({ content, parts }) =>
      [...parts, content]
        .filter((trait) => !isSound(trait))
        .reduce((most, trait) => Math.max(most, records.get(trait)?.crashes.size ?? 0), 0),
    quarantinedTraits: (now) =>
      [...records]
        .filter(([, { quarantinedUntil }]) => now < quarantinedUntil)
        .map(([trait]) => trait),
  };
}
