import type { RequestCaller } from './requestCaller.js';
import type { EntryMetrics } from './metricsEntry.js';
import type { UpstreamDirectory } from '@burdockrail/membership/upstreamDirectory.js';
import type { DaemonContext } from './daemonRole.js';

const OK_STATUS = 200;
const UNAVAILABLE_STATUS = 503;

/** Options of {@link createEntryEndpoints}. */
export interface EntryEndpointOptions {
  readonly context: DaemonContext;
  readonly directory: UpstreamDirectory;
  readonly metrics: EntryMetrics;
  readonly isDraining: () => boolean;
}

/** Answers a request to an operational endpoint. */
export type EntryEndpoint = (caller: RequestCaller) => void;

function answerText(caller: RequestCaller, status: number, text: string): void {
  caller.sendAnswer(status, { 'content-type': 'text/plain; charset=utf-8' }, text);
}

function statusDocument({ context, directory, isDraining }: EntryEndpointOptions): string {
  const committed = context.configuration.current?.committed;
  const upstreams = directory.all(context.time.now()).map(({ announcement }) => ({
    agent: announcement.agent,
    service: announcement.service,
    dataCentre: announcement.dataCentre,
    state: announcement.state,
    ready: announcement.ready,
    digest: announcement.serving?.digest ?? null,
  }));
  return JSON.stringify({
    name: context.identity.name,
    dataCentre: context.identity.dataCentre,
    draining: isDraining(),
    revision: committed?.revision ?? 0,
    digest: committed?.digest ?? null,
    upstreams,
  });
}

/** Creates the endpoints for the platform and for operators, by path. */
export function createEntryEndpoints(
  options: EntryEndpointOptions,
): Readonly<Record<string, EntryEndpoint>> {
  const findUnreadyReason = (): string | null => {
    if (options.isDraining()) return 'draining';
    return options.context.configuration.current === null ? 'no configuration in force' : null;
  };
  return {
    '/livez': (caller) => {
      answerText(caller, OK_STATUS, 'live\n');
    },
    '/readyz': (caller) => {
      const reason = findUnreadyReason();
      answerText(
        caller,
        reason === null ? OK_STATUS : UNAVAILABLE_STATUS,
        `${reason ?? 'ready'}\n`,
      );
    },
    '/metrics': (caller) => {
      answerText(caller, OK_STATUS, options.metrics.formatMetrics());
    },
    '/status': (caller) => {
      caller.sendAnswer(OK_STATUS, { 'content-type': 'application/json' }, statusDocument(options));
    },
  };
}
