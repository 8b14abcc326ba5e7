import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { listsLoad } from '@burdockrail/membership/loadVerdicts.js';
import type { LoadVerdicts, UpstreamRecord } from '@burdockrail/protocol/protocolDirectory.js';
import type { EventLog } from '@burdockrail/telemetry/eventLog.js';
import type { EngineReport, ModelVersion } from './dialect.js';
import type { LoadDoubts } from './loadDoubts.js';

/** Decides what the agent knows of loads that its engine had before. */
export interface InheritedLoads {
  /** False until it is known which loads of the engine's incarnation are in doubt. */
  readonly areKnown: boolean;
  /** Looks at a report of the engine; `record` is the engine's, if the directory has it. */
  observe(report: EngineReport | null, record: UpstreamRecord | undefined, now: Milliseconds): void;
  /** What this agent can say of the loads; `undefined` while it can say nothing. */
  verdicts(report: EngineReport): LoadVerdicts | undefined;
  /** The engine has restarted. */
  reset(): void;
}

/**
 * Creates the decision for an engine of which nothing is known.
 *
 * @remarks
 * Loads of an engine that has accepted no order came with it and are sound. Others were ordered by a
 * former agent, which may have ended before it could show that they are; they are in doubt unless it
 * vouched for them after the engine's last order.
 */
export function createInheritedLoads(doubts: LoadDoubts, log: EventLog): InheritedLoads {
  let knownStart: number | null = null;

  const inherit = (
    report: EngineReport,
    loads: LoadVerdicts | undefined,
    now: Milliseconds,
  ): void => {
    const isLatest = loads?.startedAt === report.startedAt && loads.orders === report.orders;
    const { sound, unsound } = isLatest ? loads : { sound: [], unsound: [] };
    const names = ({ model, version }: ModelVersion): string => `${model}@${version}`;
    const doubtful = report.models.filter((held) => !listsLoad(sound, held));
    for (const held of doubtful) doubts.inherited(held, listsLoad(unsound, held), now);
    log.write('loadsInherited', {
      orders: report.orders,
      vouchedFor: sound.map(names).join(','),
      doubtful: doubtful.map(names).join(','),
      unsound: unsound.map(names).join(','),
    });
  };

  return {
    get areKnown() {
      return knownStart !== null;
    },
    observe: (report, record, now) => {
      if (report === null || report.busy || knownStart === report.startedAt) return;
      if (report.orders > 0 && report.models.length > 0) {
        // The directory may hold the former agent's verdicts; without it nothing is served anyway.
        if (record?.startedAt !== report.startedAt) return;
        inherit(report, record.loads, now);
      }
      knownStart = report.startedAt;
    },
    verdicts: ({ startedAt, orders, models, busy }) => {
      if (busy || knownStart !== startedAt) return undefined;
      const sound = models.filter((held) => doubts.of(held) === null);
      const unsound = models.filter((held) => doubts.of(held)?.isUnsound === true);
      return { startedAt, orders, sound, unsound };
    },
    reset: () => {
      knownStart = null;
    },
  };
}
