import {
  fleetConfigurationSchema,
  type FleetConfiguration,
} from '@burdockrail/fleet/fleetConfiguration.js';
import type { CommittedConfiguration } from '@burdockrail/protocol/protocolConfiguration.js';
import type { EventLog } from '@burdockrail/telemetry/eventLog.js';

/** A committed configuration with its document decoded. */
export interface ConfigurationInForce {
  readonly committed: CommittedConfiguration;
  readonly fleet: FleetConfiguration;
}

/** Called with the configuration in force whenever it changes. */
export type ConfigurationListener = (configuration: ConfigurationInForce) => void;

/** The highest committed configuration that this process has seen. */
export interface ConfigurationHolder {
  readonly current: ConfigurationInForce | null;
  /** Puts a committed configuration into force if its revision is higher than the current one. */
  offer(committed: CommittedConfiguration): void;
  /** Calls the listener with the current configuration, if any, and with each later one. */
  subscribe(listener: ConfigurationListener): () => void;
}

/** Creates an empty holder. */
export function createConfigurationHolder(log: EventLog): ConfigurationHolder {
  const listeners = new Set<ConfigurationListener>();
  let current: ConfigurationInForce | null = null;
  return {
    get current() {
      return current;
    },
    offer: (committed) => {
      const currentRevision = current?.committed.revision ?? 0;
      if (committed.revision < currentRevision) {
        log.write('configurationRefused', {
          revision: committed.revision,
          inForce: currentRevision,
        });
      }
      if (committed.revision <= currentRevision) return;
      const fleet = fleetConfigurationSchema.parse(JSON.parse(committed.document));
      const next = { committed, fleet };
      current = next;
      log.write('configurationInForce', {
        revision: committed.revision,
        digest: committed.digest,
      });
      for (const listener of listeners) listener(next);
    },
    subscribe: (listener) => {
      listeners.add(listener);
      if (current !== null) listener(current);
      return () => listeners.delete(listener);
    },
  };
}
