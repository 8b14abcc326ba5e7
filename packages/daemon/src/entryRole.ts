import { setTimeout } from 'node:timers/promises';
import { createRetryBudget } from '@burdockrail/limits/retryBudget.js';
import type { EntrySettings } from '@burdockrail/settings/settingsSchema.js';
import { createRolloutMembersHandlers } from './weightsDirectory.js';
import { createUpstreamRouter } from '@burdockrail/routing/upstreamRouter.js';
import { mergeHandlers } from '@burdockrail/transport/peerHandlers.js';
import { createDisposalStack } from '@burdockrail/common/disposalStack.js';
import type { FleetConfiguration } from '@burdockrail/fleet/fleetConfiguration.js';
import type { IncomingMessage } from 'node:http';
import type { RequestCaller } from './requestCaller.js';
import { answerOutcomeQuery } from './entryOutcomes.js';
import type { DaemonContext, DaemonRole, DaemonRoleFactory } from './daemonRole.js';
import { createExchangeHandler } from './entryExchange.js';
import { createEntryEndpoints } from './entryEndpoints.js';
import { createEntryServer, type EntryServer } from './entryServer.js';
import type { EntryServices } from './entryServices.js';
import { createBackgroundTasks } from './entryBackground.js';
import { createGroupClient, type GroupClient } from './groupClient.js';
import { createLedgerClient } from './ledgerClient.js';
import { createMembership } from './membership.js';
import { createEntryMetrics } from './metricsEntry.js';
import { createAttemptRunner } from './requestAttempt.js';
import { createConnectionMonitor } from './requestLiveness.js';
import { createQuarantine } from './requestQuarantine.js';
import { createRequestPipeline } from './requestPipeline.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError } from '@burdockrail/common/outcome.js';

function entrySettings(context: DaemonContext): EntrySettings {
  const { entry } = context.settings;
  if (entry === undefined) throw new ResultError(ResultCode.SettingsInvalid, 'entry: missing');
  return entry;
}

/** Injected dependencies of the entry role. */
export interface EntryRoleDependencies {
  /** Quorum groups, for the claims of non-repeatable requests. */
  readonly groups: GroupClient;
}

/** Creates the role `entry`. */
export const createEntryRole: DaemonRoleFactory = (context) =>
  createEntryRoleWith(context, { groups: createGroupClient(context) });

/** Creates the role `entry` with the given dependencies. */
export function createEntryRoleWith(
  context: DaemonContext,
  dependencies: EntryRoleDependencies,
): DaemonRole {
  const settings = entrySettings(context);
  const disposables = createDisposalStack();
  const membership = disposables.use(createMembership(context));
  const connectionMonitor = disposables.use(createConnectionMonitor());
  const services: EntryServices = {
    dataCentre: context.settings.dataCentre,
    region: context.settings.region,
    time: context.time,
    directory: membership.directory,
    client: context.client,
    ledger: disposables.use(createLedgerClient(dependencies.groups, context.log)),
    backgroundTasks: createBackgroundTasks(),
    router: createUpstreamRouter({ policy: 'affinity', random: context.random }),
    retryBudget: createRetryBudget(),
    attempts: createAttemptRunner({ client: context.client, connectionMonitor }),
    metrics: createEntryMetrics(),
    quarantine: createQuarantine(context),
  };
  let hasDrainStarted = false;
  let server: EntryServer | undefined;
  const isDraining = (): boolean => hasDrainStarted;
  const endpoints = createEntryEndpoints({
    context,
    directory: membership.directory,
    metrics: services.metrics,
    isDraining,
  });
  const currentFleet = (): FleetConfiguration | undefined => context.configuration.current?.fleet;
  const runRequest = createRequestPipeline(services, currentFleet);
  const handleOutcomeQuery = async (
    message: IncomingMessage,
    caller: RequestCaller,
  ): Promise<void> => answerOutcomeQuery(services, currentFleet(), message, caller);
  const exchanges = createExchangeHandler({
    context,
    settings,
    endpoints,
    runRequest,
    answerOutcomeQuery: handleOutcomeQuery,
    isDraining,
  });

  return {
    handlers: mergeHandlers([
      membership.handlers,
      services.quarantine.handlers,
      createRolloutMembersHandlers(membership.directory, context.time),
    ]),
    groups: [],
    start: async () => {
      membership.start();
      server = disposables.use(
        await createEntryServer(
          { settings, time: context.time, metrics: services.metrics },
          exchanges,
        ),
      );
      const { host, port } = server.address;
      context.log.write('entryListening', { address: `${host}:${port}` });
    },
    drain: async () => {
      hasDrainStarted = true;
      const timeout = setTimeout(context.settings.drainMilliseconds, undefined, { ref: false });
      const drained = server?.drain().then(async () => services.backgroundTasks.idle());
      await Promise.race([drained, timeout]);
    },
    [Symbol.asyncDispose]: async () => disposables[Symbol.asyncDispose](),
  };
}
