import type { LoadReport } from '@burdockrail/protocol/protocolMembership.js';
import type { EngineClient, EngineLoad } from './engineClient.js';
import { createPrefixSet } from './enginePrefixes.js';

/** Time between two questions to an engine, in milliseconds. */
const POLL_INTERVAL_MILLISECONDS = 200;

/** What the engine reported last. */
export interface EngineView {
  /** Null while the engine does not answer. */
  readonly load: EngineLoad | null;
  readonly prefixes: readonly string[];
}

/** Follows the load and the cache events of one engine. */
export interface EngineMonitor extends AsyncDisposable {
  readonly view: EngineView;
  /** Begins; resolves after the first answer or failure. */
  start(): Promise<void>;
}

/** Gives the part of an engine's report that an announcement carries. */
export function loadReport(load: EngineLoad): LoadReport {
  const { running, waiting, capacity, cacheUse } = load;
  return { running, waiting, capacity, cacheUse };
}

/** Creates a monitor that calls `changed` after each answer or failure. */
export function createEngineMonitor(
  engine: EngineClient,
  changed: (view: EngineView) => void,
): EngineMonitor {
  const prefixes = createPrefixSet();
  let view: EngineView = { load: null, prefixes: [] };
  let nextEvent = 0;
  let timer: NodeJS.Timeout | undefined;
  let isStopped = false;

  const poll = async (): Promise<void> => {
    try {
      const load = await engine.load();
      const events = await engine.events(nextEvent);
      // An engine that counts from the start again has restarted with an empty cache.
      if (events.next < nextEvent) prefixes.clear();
      nextEvent = events.next;
      prefixes.apply(events.events);
      view = { load, prefixes: prefixes.newest() };
    } catch {
      prefixes.clear();
      nextEvent = 0;
      view = { load: null, prefixes: [] };
    }
  };

  const cycle = async (): Promise<void> => {
    await poll();
    if (isStopped) return;
    changed(view);
    timer = setTimeout(() => void cycle(), POLL_INTERVAL_MILLISECONDS);
  };

  return {
    get view() {
      return view;
    },
    start: cycle,
    [Symbol.asyncDispose]: async () => {
      isStopped = true;
      clearTimeout(timer);
      return Promise.resolve();
    },
  };
}
