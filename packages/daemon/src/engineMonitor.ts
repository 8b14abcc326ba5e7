import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import { isLoadReport } from '@burdockrail/membership/announcementCheck.js';
import type { LoadReport } from '@burdockrail/protocol/protocolMembership.js';
import type { EngineClient, EngineLoad } from './engineClient.js';
import { createCachedPrefixes } from './enginePrefixes.js';

/** Interval of the polls of an engine, in milliseconds. */
const POLL_INTERVAL_MILLISECONDS = 200;

/** Result of the last poll of an engine. */
export interface EngineReport {
  /** Null if the engine did not answer. */
  readonly load: EngineLoad | null;
  readonly prefixes: readonly string[];
}

/** Polls the load and the cache events of one engine. */
export interface EngineMonitor extends AsyncDisposable {
  readonly latest: EngineReport;
  /** Number of restarts of the engine that its event numbers have shown. */
  readonly restarts: number;
  /** Starts polling; resolves after the first poll. */
  start(): Promise<void>;
}

/** Returns the part of an engine's load that is announced. */
export function toLoadReport(load: EngineLoad): LoadReport {
  const { running, waiting, capacity, cacheUse } = load;
  return { running, waiting, capacity, cacheUse };
}

/** Creates a monitor that calls `onPolled` after each poll, successful or not. */
export function createEngineMonitor(
  engine: EngineClient,
  onPolled: (report: EngineReport) => void,
): EngineMonitor {
  const prefixes = createCachedPrefixes();
  let latest: EngineReport = { load: null, prefixes: [] };
  let nextEventNumber = 0;
  let highestEventNumber = 0;
  let restarts = 0;
  let timer: NodeJS.Timeout | undefined;
  let isStopped = false;

  const poll = async (): Promise<void> => {
    try {
      const load = await engine.getLoad();
      if (!isLoadReport(load)) throw new ResultError(ResultCode.UpstreamFailed, 'odd load');
      const events = await engine.getEvents(nextEventNumber);
      // Event numbers that start again mean that the engine restarted with an empty cache.
      if (events.next < nextEventNumber) prefixes.clear();
      if (events.next < highestEventNumber) restarts += 1;
      nextEventNumber = events.next;
      highestEventNumber = events.next;
      prefixes.apply(events.events);
      latest = { load, prefixes: prefixes.listNewest() };
    } catch {
      prefixes.clear();
      nextEventNumber = 0;
      latest = { load: null, prefixes: [] };
    }
  };

  const pollRepeatedly = async (): Promise<void> => {
    await poll();
    if (isStopped) return;
    onPolled(latest);
    timer = setTimeout(() => void pollRepeatedly(), POLL_INTERVAL_MILLISECONDS);
  };

  return {
    get latest() {
      return latest;
    },
    get restarts() {
      return restarts;
    },
    start: pollRepeatedly,
    [Symbol.asyncDispose]: async () => {
      isStopped = true;
      clearTimeout(timer);
      return Promise.resolve();
    },
  };
}
