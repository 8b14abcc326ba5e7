import type { TimeSource, Milliseconds } from '@burdockrail/common/timeSource.js';
import type { EventLog } from '@burdockrail/telemetry/eventLog.js';
import type { EngineReport, WeightsDialect } from './dialect.js';
import type { HttpCaller } from './engineClient.js';

/** Interval at which an agent asks its own engine, in milliseconds. */
const POLL_MILLISECONDS = 250;

/** Bound on the engine's answer, in milliseconds. */
const ANSWER_MILLISECONDS = 600;

/** Age at which a report says nothing any more, in milliseconds. */
const OUTDATED_MILLISECONDS = 1_500;

/** The latest that an engine told the agent beside it. */
export interface EngineWatch extends AsyncDisposable {
  /** `null` while the engine does not answer. */
  report(now: Milliseconds): EngineReport | null;
  /** Asks at once. */
  refresh(): Promise<EngineReport | null>;
  start(): void;
}

/** Options of {@link createEngineWatch}. */
export interface EngineWatchOptions {
  readonly engine: HttpCaller;
  readonly dialect: WeightsDialect;
  readonly time: TimeSource;
  readonly log: EventLog;
  readonly onReport: (report: EngineReport) => void;
  /** Called when the engine restarted, or holds or does something else than before. */
  readonly onChange: (report: EngineReport | null, restarted: boolean) => void;
}

function stateText(report: EngineReport | null): string {
  if (report === null) return 'silent';
  const models = report.models.map(({ model, version }) => `${model}@${version}`).join(',');
  return `${report.startedAt} ${models} ${report.busy ? 'busy' : 'idle'}`;
}

/** Creates the watch of an engine. */
export function createEngineWatch(options: EngineWatchOptions): EngineWatch {
  const { engine, dialect, time, log } = options;
  let latest: EngineReport | null = null;
  let answeredAt = Number.NEGATIVE_INFINITY;
  let known: EngineReport | null = null;
  let lastStartedAt: number | null = null;
  let running: Promise<EngineReport | null> | null = null;

  const note = (report: EngineReport | null): void => {
    if (stateText(report) === stateText(known)) return;
    known = report;
    const restarted =
      report !== null && lastStartedAt !== null && report.startedAt !== lastStartedAt;
    if (report !== null) lastStartedAt = report.startedAt;
    log.write('engineChanged', {
      state: stateText(report),
      restarted,
      orders: report?.orders ?? null,
    });
    options.onChange(report, restarted);
  };

  const ask = async (): Promise<EngineReport | null> => {
    try {
      const { status, body } = await engine.call(dialect.report, ANSWER_MILLISECONDS);
      const report = status === 200 ? dialect.decodeReport(body.toString('utf8')) : null;
      if (report !== null) {
        latest = report;
        answeredAt = time.now();
        options.onReport(report);
      }
    } catch {
      // Silence is part of the state and is noted below.
    }
    const isFresh = time.now() - answeredAt < OUTDATED_MILLISECONDS;
    note(isFresh ? latest : null);
    return isFresh ? latest : null;
  };

  const refresh = async (): Promise<EngineReport | null> => {
    running ??= ask().finally(() => {
      running = null;
    });
    return running;
  };
  let timer: NodeJS.Timeout | undefined;

  return {
    report: (now) => (now - answeredAt < OUTDATED_MILLISECONDS ? latest : null),
    refresh,
    start: () => {
      timer = setInterval(() => void refresh(), POLL_MILLISECONDS);
      void refresh();
    },
    [Symbol.asyncDispose]: async () => {
      clearInterval(timer);
      await running;
    },
  };
}
