import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { KnownVersions } from '@burdockrail/rollout/versionChoice.js';
import type { ClusterView } from './clusterView.js';
import type { EngineReport } from './dialect.js';
import type { GatewayBounds } from './gatewaySettings.js';
import { servableUntil, supersededAt } from './versionRule.js';

/** Version served before any other is named. */
const FIRST_VERSION = 1;

/** Versions of a model that matter to an engine. */
export interface EngineModel extends KnownVersions {
  readonly model: string;
  /** Time at which the loaded version was superseded; `null` if it is the newest, or there is none. */
  readonly supersededAt: Milliseconds | null;
}

/** Newest version that was named or that an engine has; `null` if there is none. */
function newestKnownVersion(clusterView: ClusterView, model: string): number | null {
  const named = clusterView.weightsOf(model).at(-1)?.version;
  if (named !== undefined) return named;
  const versionsInUse = clusterView.directory.entries
    .flatMap(({ record }) => record.models)
    .filter((held) => held.model === model)
    .map(({ version }) => version);
  return versionsInUse.length === 0 ? null : Math.max(...versionsInUse);
}

/**
 * Returns the versions of each model of a service's engines.
 *
 * @param report - latest report of the engine; `null` before it has started.
 */
export function engineModels(
  clusterView: ClusterView,
  service: string,
  report: EngineReport | null,
  bounds: Pick<GatewayBounds, 'versionMilliseconds'>,
): readonly EngineModel[] {
  const models = clusterView.table?.service(service)?.engine?.models ?? [];
  return models.flatMap((model): readonly EngineModel[] => {
    const newest = newestKnownVersion(clusterView, model);
    // Engines that start with the fleet may have weights that no other process knows of yet.
    if (report === null && newest === null) return [];
    const loaded = report?.models.find((held) => held.model === model)?.version ?? 0;
    const named = clusterView.weightsOf(model);
    return [
      {
        model,
        loaded,
        newest: newest ?? FIRST_VERSION,
        servableUntil: (version) => servableUntil(version, named, bounds),
        supersededAt: loaded === 0 ? null : supersededAt(loaded, named),
      },
    ];
  });
}
