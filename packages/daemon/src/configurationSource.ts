import { createDisposalStack } from '@burdockrail/common/disposalStack.js';
import type { CommittedConfiguration } from '@burdockrail/protocol/protocolConfiguration.js';
import type { PeerHandlers } from '@burdockrail/transport/peerHandlers.js';
import { createConfigurationRelay } from './configurationRelay.js';
import { createConfigurationWatcher } from './configurationWatcher.js';
import type { DaemonContext } from './daemonRole.js';
import { FLEET_GROUP } from './groupName.js';
import type { GroupHosts } from './groupHosts.js';

/** Obtains a process's configurations and relays them to watchers. */
export interface ConfigurationSource extends AsyncDisposable {
  readonly handlers: Partial<PeerHandlers>;
  start(): void;
}

/** Passes the configuration committed in this process's fleet replica to the holder. */
export function offerReplicaConfiguration(context: DaemonContext, groups: GroupHosts): void {
  const current = groups.host(FLEET_GROUP)?.peek({ kind: 'current' });
  if (current === undefined || current === null) return;
  context.configuration.offer(current as CommittedConfiguration);
}

/** Creates the source: the local replica in a control process, a relay in all others. */
export function createConfigurationSource(
  context: DaemonContext,
  groups: GroupHosts,
): ConfigurationSource {
  const disposables = createDisposalStack();
  const isControl = context.settings.control !== undefined;
  const watcher = isControl ? null : disposables.use(createConfigurationWatcher(context));
  const confirmedAge = (): number =>
    watcher?.confirmedAgeMilliseconds ??
    groups.host(FLEET_GROUP)?.confirmedAgeMilliseconds ??
    Number.POSITIVE_INFINITY;
  const isRelay = isControl || context.settings.entry !== undefined;
  return {
    handlers: isRelay ? { streams: createConfigurationRelay(context, confirmedAge) } : {},
    start: () => watcher?.start(),
    [Symbol.asyncDispose]: async () => disposables[Symbol.asyncDispose](),
  };
}
