import { setTimeout } from 'node:timers/promises';
import { createRetryBudget } from '@burdockrail/limits/retryBudget.js';
import type { EntrySettings } from '@burdockrail/settings/settingsSchema.js';
import { createWeightsDirectory } from './weightsDirectory.js';
import { createUpstreamRouter } from '@burdockrail/routing/upstreamRouter.js';
import { mergeHandlers } from '@burdockrail/transport/peerHandlers.js';
import { createDisposalStack } from '@burdockrail/common/disposalStack.js';
import type { FleetConfiguration } from '@burdockrail/fleet/fleetConfiguration.js';
import type { IncomingMessage } from 'node:http';
import type { RequestCaller } from './requestCaller.js';
import { answerOutcomeQuestion } from './entryOutcomes.js';
import type { DaemonContext, DaemonRole, DaemonRoleFactory } from './daemonRole.js';
import { createExchangeHandler } from './entryExchange.js';
import { createEntryPages } from './entryPages.js';
import { createEntryServer, type EntryServer } from './entryServer.js';
import type { EntryServices } from './entryServices.js';
import { createBackgroundWork } from './entryBackground.js';
import { createGroupClient, type GroupClient } from './groupClient.js';
import { createLedgerClient } from './ledgerClient.js';
import { createMembership } from './membership.js';
import { createEntryMetrics } from './metricsEntry.js';
import { createAttemptRunner } from './requestAttempt.js';
import { createConnectionWatch } from './requestLiveness.js';
import { createQuarantine } from './requestQuarantine.js';
import { createRequestPath } from './requestPath.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError } from '@burdockrail/common/outcome.js';

function entrySettings(context: DaemonContext): EntrySettings {
  const { entry } = context.settings;
  if (entry === undefined) throw new ResultError(ResultCode.SettingsInvalid, 'entry: missing');
  return entry;
}

/** Parts of the entry role that come from elsewhere. */
export interface EntryRoleParts {
  /** Quorum groups, for the claims of non-repeatable requests. */
  readonly groups: GroupClient;
}

/** Creates the role `entry`. */
export const createEntryRole: DaemonRoleFactory = (context) =>
  createEntryRoleWith(context, { groups: createGroupClient(context) });

/** Creates the role `entry` with the given parts. */
export function createEntryRoleWith(context: DaemonContext, parts: EntryRoleParts): DaemonRole {
  const settings = entrySettings(context);
  const owned = createDisposalStack();
  const membership = owned.use(createMembership(context));
  const watch = owned.use(createConnectionWatch());
  const services: EntryServices = {
    dataCentre: context.settings.dataCentre,
    region: context.settings.region,
    time: context.time,
    directory: membership.directory,
    client: context.client,
    ledger: owned.use(createLedgerClient(parts.groups, context.log)),
    background: createBackgroundWork(),
    router: createUpstreamRouter({ policy: 'affinity', random: context.random }),
    retryBudget: createRetryBudget(),
    attempts: createAttemptRunner({ client: context.client, watch }),
    metrics: createEntryMetrics(),
    quarantine: createQuarantine(context),
  };
  let draining = false;
  let server: EntryServer | undefined;
  const isDraining = (): boolean => draining;
  const pages = createEntryPages({
    context,
    directory: membership.directory,
    metrics: services.metrics,
    isDraining,
  });
  const currentFleet = (): FleetConfiguration | undefined => context.configuration.current?.fleet;
  const path = createRequestPath(services, currentFleet);
  const outcomes = async (message: IncomingMessage, caller: RequestCaller): Promise<void> =>
    answerOutcomeQuestion(services, currentFleet(), message, caller);
  const handle = createExchangeHandler({ context, settings, pages, path, outcomes, isDraining });

  return {
    handlers: mergeHandlers([
      membership.handlers,
      services.quarantine.handlers,
      createWeightsDirectory(membership.directory, context.time),
    ]),
    groups: [],
    start: async () => {
      membership.start();
      server = owned.use(await createEntryServer(settings.http, handle));
      const { host, port } = server.address;
      context.log.write('entryListening', { address: `${host}:${port}` });
    },
    drain: async () => {
      draining = true;
      const bound = setTimeout(context.settings.drainMilliseconds, undefined, { ref: false });
      const drained = server?.drain().then(async () => services.background.idle());
      await Promise.race([drained, bound]);
    },
    [Symbol.asyncDispose]: async () => owned[Symbol.asyncDispose](),
  };
}
