import type { TimeSource, Milliseconds } from '@burdockrail/common/timeSource.js';
import type { EventLog } from '@burdockrail/telemetry/eventLog.js';
import type { EngineReport, WeightsDialect } from './dialect.js';
import type { HttpClient } from './httpClient.js';

/** Interval at which the engine is polled, in milliseconds. */
const POLL_INTERVAL_MILLISECONDS = 250;

/** Interval while the engine carries out an order, in milliseconds: it serves again afterwards. */
const BUSY_POLL_INTERVAL_MILLISECONDS = 50;

/** Timeout of a poll, in milliseconds. */
const ANSWER_TIMEOUT_MILLISECONDS = 600;

/** Age beyond which a report is discarded, in milliseconds. */
const MAXIMUM_REPORT_AGE_MILLISECONDS = 1_500;

/** Polls an engine and keeps its latest report. */
export interface EngineMonitor extends AsyncDisposable {
  /** `null` while the engine does not answer. */
  report(now: Milliseconds): EngineReport | null;
  /** Polls immediately; shares a poll that is in progress. */
  refresh(): Promise<EngineReport | null>;
  start(): void;
}

/** Options of {@link createEngineMonitor}. */
export interface EngineMonitorOptions {
  readonly engine: HttpClient;
  readonly dialect: WeightsDialect;
  readonly time: TimeSource;
  readonly log: EventLog;
  readonly onReport: (report: EngineReport) => void;
  /** Called when the engine restarts, becomes busy or idle, changes models, or stops answering. */
  readonly onChange: (report: EngineReport | null, restarted: boolean) => void;
}

function describeState(report: EngineReport | null): string {
  if (report === null) return 'silent';
  const models = report.models.map(({ model, version }) => `${model}@${version}`).join(',');
  return `${report.startedAt} ${models} ${report.busy ? 'busy' : 'idle'}`;
}

/** Creates the monitor of an engine. */
export function createEngineMonitor(options: EngineMonitorOptions): EngineMonitor {
  const { engine, dialect, time, log } = options;
  let latestReport: EngineReport | null = null;
  let lastAnswerAt = Number.NEGATIVE_INFINITY;
  let lastNotified: EngineReport | null = null;
  let lastStartedAt: number | null = null;
  let pollInProgress: Promise<EngineReport | null> | null = null;

  const notifyChange = (report: EngineReport | null): void => {
    if (describeState(report) === describeState(lastNotified)) return;
    lastNotified = report;
    const restarted =
      report !== null && lastStartedAt !== null && report.startedAt !== lastStartedAt;
    if (report !== null) lastStartedAt = report.startedAt;
    log.write('engineChanged', {
      state: describeState(report),
      restarted,
      orders: report?.orders ?? null,
    });
    options.onChange(report, restarted);
  };

  const poll = async (): Promise<EngineReport | null> => {
    try {
      const { status, body } = await engine.call(dialect.report, ANSWER_TIMEOUT_MILLISECONDS);
      const report = status === 200 ? dialect.decodeReport(body.toString('utf8')) : null;
      if (report !== null) {
        latestReport = report;
        lastAnswerAt = time.now();
        options.onReport(report);
      }
    } catch {
      // A failed poll is handled below through the age of the last report.
    }
    const isFresh = time.now() - lastAnswerAt < MAXIMUM_REPORT_AGE_MILLISECONDS;
    notifyChange(isFresh ? latestReport : null);
    return isFresh ? latestReport : null;
  };

  const refresh = async (): Promise<EngineReport | null> => {
    pollInProgress ??= poll().finally(() => {
      pollInProgress = null;
    });
    return pollInProgress;
  };
  let timer: NodeJS.Timeout | undefined;
  let isStopped = false;

  const pollRepeatedly = (): void => {
    void refresh().finally(() => {
      if (isStopped) return;
      const isBusy = latestReport?.busy === true;
      const interval = isBusy ? BUSY_POLL_INTERVAL_MILLISECONDS : POLL_INTERVAL_MILLISECONDS;
      timer = setTimeout(pollRepeatedly, interval);
    });
  };

  return {
    report: (now) => (now - lastAnswerAt < MAXIMUM_REPORT_AGE_MILLISECONDS ? latestReport : null),
    refresh,
    start: pollRepeatedly,
    [Symbol.asyncDispose]: async () => {
      isStopped = true;
      clearTimeout(timer);
      await pollInProgress;
    },
  };
}
