import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import {
  createCrashAttribution,
  type InterruptedRun,
  type UpstreamLiveness,
} from '@burdockrail/limits/crashAttribution.js';
import {
  createQuarantineState,
  type ContentStatus,
  type RequestTraits,
} from '@burdockrail/limits/quarantineState.js';
import type {
  CrashSighting,
  TraitFinding,
  TraitVerdict,
} from '@burdockrail/protocol/protocolDirectory.js';
import type { ClusterView } from './clusterView.js';
import { parseAddress } from './controlAddresses.js';
import type { Refusal } from './entryAdmission.js';
import type { GatewayContext } from './gatewayContext.js';
import { isConnectionRefused } from './upstreamProbe.js';

/** Equal requests that must crash upstreams to be quarantined; two crashes may be coincidence. */
const CRASHES_TO_QUARANTINE = 3;

/**
 * Upstreams that crashed under a trait from which on requests with it are not sent a second time:
 * one crash more would quarantine it.
 */
const CRASHES_TO_STOP_RETRIES = CRASHES_TO_QUARANTINE - 1;

/** Keeps requests that crash upstreams away from them, in cooperation with the other entries. */
export interface EntryQuarantine {
  statusOf(traits: RequestTraits, now: Milliseconds): ContentStatus;
  /** False if a second attempt is likely to crash another upstream. */
  mayRetry(traits: RequestTraits, now: Milliseconds): boolean;
  /** Records that the connection to an upstream broke while it executed a request. */
  recordConnectionLoss(traits: RequestTraits, upstream: string): void;
  /** Records that an upstream executed a request to completion. */
  recordCompletion(traits: RequestTraits, now: Milliseconds): void;
  /** Applies what other entries found out; `control` is the incarnation that relays it. */
  applyFindings(findings: readonly TraitFinding[], control: string, now: Milliseconds): void;
  /** Counts interrupted runs whose upstream has crashed since. */
  detectCrashes(now: Milliseconds): void;
  /** Removes and returns what control processes have to learn from this entry. */
  takeFindings(): readonly TraitFinding[];
}

type FindingHandlers = {
  readonly [Kind in TraitFinding['kind']]: (
    finding: Extract<TraitFinding, { readonly kind: Kind }>,
    now: Milliseconds,
  ) => void;
};

/** Creates the quarantine of one entry. */
export function createEntryQuarantine(
  context: Pick<GatewayContext, 'time' | 'log' | 'random'> & {
    readonly settings: Pick<GatewayContext['settings'], 'localAddress'>;
  },
  clusterView: () => Pick<ClusterView, 'directory'>,
): EntryQuarantine {
  const { time, log, random, settings } = context;
  const state = createQuarantineState(CRASHES_TO_QUARANTINE, random.next());
  const attribution = createCrashAttribution();
  const refusingUpstreams = new Set<string>();
  const probes = new Set<string>();
  let unreported: TraitFinding[] = [];
  let knownControl = '';

  const report = (kind: TraitVerdict['kind'], traits: readonly string[]): void => {
    unreported.push(...traits.map((trait) => ({ kind, trait })));
  };

  const recordCrash = (crash: CrashSighting, now: Milliseconds): readonly string[] => {
    const { content, parts, upstream, startedAt } = crash;
    const agent = `${upstream} ${startedAt}`;
    const finding = state.recordCrash({ content, parts, agent, granted: false }, now);
    if (finding.quarantined !== null) {
      log.write('traitQuarantined', { trait: finding.quarantined, content, upstream });
      report('quarantine', [finding.quarantined]);
    }
    return finding.soundTraits;
  };

  const findLiveness = (upstream: string): UpstreamLiveness | null => {
    const entry = clusterView().directory.get(upstream);
    if (entry === undefined || entry.record.state === 'gone' || refusingUpstreams.has(upstream))
      return null;
    return { startedAt: entry.record.startedAt, silent: entry.silent };
  };

  const detectCrashes = (now: Milliseconds): void => {
    for (const run of attribution.takeConfirmed(findLiveness, now)) {
      const { content, parts, upstream } = run;
      log.write('contentCrashed', { content, parts: parts.join(','), upstream });
      const crash = { ...run, kind: 'crash' } as const;
      if (attribution.isFirstReport(run)) recordCrash(crash, now);
      unreported.push(crash);
    }
  };

  const probe = async (upstream: string, address: string): Promise<void> => {
    if (probes.has(upstream)) return;
    probes.add(upstream);
    const isRefused = await isConnectionRefused(parseAddress(address), settings.localAddress);
    probes.delete(upstream);
    if (!isRefused) return;
    refusingUpstreams.add(upstream);
    detectCrashes(time.now());
    refusingUpstreams.delete(upstream);
  };

  const handlers: FindingHandlers = {
    crash: (crash, now) => {
      if (!attribution.isFirstReport(crash)) return;
      // The entry that reported the crash does not know yet that these traits are sound.
      report('sound', recordCrash(crash, now));
    },
    quarantine: ({ trait }, now) => {
      if (state.isSound(trait)) report('sound', [trait]);
      else state.recordQuarantine(trait, now);
    },
    sound: ({ trait }, now) => {
      state.recordSound([trait], now);
    },
  };

  return {
    statusOf: (traits, now) => state.statusOf(traits, now),
    mayRetry: (traits, now) =>
      state.statusOf(traits, now).kind !== 'quarantined' &&
      state.crashesUnder(traits) < CRASHES_TO_STOP_RETRIES,
    recordConnectionLoss: ({ content, parts }, upstream) => {
      const record = clusterView().directory.get(upstream)?.record;
      const run: InterruptedRun = {
        content,
        parts: parts.filter((part) => !state.isSound(part)),
        upstream,
        startedAt: record?.startedAt ?? 0,
      };
      attribution.recordInterruption(run, time.now());
      if (record !== undefined) void probe(upstream, record.address);
    },
    recordCompletion: (traits, now) => {
      attribution.recordCompletion(traits.content);
      const suspected = state.recordCompletion(traits, now);
      report('sound', suspected);
    },
    applyFindings: (findings, control, now) => {
      for (const finding of findings) {
        const handler = handlers[finding.kind] as (item: TraitFinding, now: Milliseconds) => void;
        handler(finding, now);
      }
      // A control process that has started since knows nothing of earlier verdicts.
      if (control !== knownControl) report('quarantine', state.quarantinedTraits(now));
      knownControl = control;
    },
    detectCrashes,
    takeFindings: () => {
      const taken = unreported;
      unreported = [];
      return taken;
    },
  };
}

/** Refusal of a request that is in quarantine; `null` for any other. */
export function refusalOfQuarantined(
  quarantine: Pick<EntryQuarantine, 'statusOf'>,
  traits: RequestTraits,
  now: Milliseconds,
): Refusal | null {
  const status = quarantine.statusOf(traits, now);
  if (status.kind !== 'quarantined') return null;
  return {
    code: ResultCode.Quarantined,
    detail: 'requests like this one have crashed several upstreams',
    retryAfterMilliseconds: status.until - now,
  };
}
