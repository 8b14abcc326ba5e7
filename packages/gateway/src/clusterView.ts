import { inflateRawSync } from 'node:zlib';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { createDirectoryView, type DirectoryView } from '@burdockrail/membership/directoryView.js';
import type {
  DirectoryWatchReply,
  CompressedConfiguration,
} from '@burdockrail/protocol/protocolDirectory.js';
import { createUpstreamRecordFilter } from './upstreamRecordFilter.js';
import { createRouteTable, type RouteTable } from '@burdockrail/routing/routeTable.js';
import { namingsInForce, type NamedVersion } from './versionRule.js';
import type { GatewayContext } from './gatewayContext.js';

/** Number of entries assumed until a control process reports it. */
const ASSUMED_ENTRIES = 8;

/** Local copy of the configuration, the upstream directory and the named weights. */
export interface ClusterView {
  /** Routes of the configuration in force; `null` before the first. */
  readonly table: RouteTable | null;
  readonly directory: DirectoryView;
  /** Time up to which all committed changes are known here. */
  readonly confirmedAt: Milliseconds;
  /** Number of entries in the deployment. */
  readonly entries: number;
  /** Place of this entry among all, from 0. */
  readonly index: number;
  /** Versions named for a model, in ascending order. */
  weightsOf(model: string): readonly NamedVersion[];
  /** Applies an answer to a watch; `askedAt` is the time of the call. */
  apply(update: DirectoryWatchReply, askedAt: Milliseconds, now: Milliseconds): void;
}

/** Options of {@link createClusterView}. */
export interface ClusterViewOptions {
  readonly onConfiguration?: (table: RouteTable) => void;
  readonly onWeights?: () => void;
}

/**
 * Creates an empty view.
 *
 * @remarks
 * A configuration is applied only if its version is higher than the one in force, whichever control
 * process sends it.
 */
export function createClusterView(
  context: GatewayContext,
  options: ClusterViewOptions,
): ClusterView {
  const { log, dialect, settings } = context;
  const directory = createDirectoryView();
  const recordFilter = createUpstreamRecordFilter(log);
  const weights = new Map<string, readonly NamedVersion[]>();
  let table: RouteTable | null = null;
  let confirmedAt = Number.NEGATIVE_INFINITY;
  let entries = ASSUMED_ENTRIES;
  let index = 0;

  /** Returns false if the configuration can't be used. */
  const applyConfiguration = (packed: CompressedConfiguration): boolean => {
    const previous = table?.configuration.version ?? 0;
    if (packed.version <= previous) return true;
    const decoded = dialect.decodeConfiguration(inflateRawSync(packed.document).toString('utf8'));
    if (decoded.kind === 'failure') {
      // Control processes validate configurations before committing, so this indicates a bug.
      log.write('configurationRefused', { version: packed.version, reason: decoded.detail });
      return false;
    }
    table = createRouteTable(decoded.value);
    log.write('configurationAdopted', {
      version: packed.version,
      former: previous,
      routes: decoded.value.routes.length,
    });
    options.onConfiguration?.(table);
    return true;
  };

  const applyWeights = (update: DirectoryWatchReply, now: Milliseconds): void => {
    let changed = false;
    for (const { model, version, ageMilliseconds } of update.weights) {
      const namedAt = now - ageMilliseconds;
      const known = weights.get(model) ?? [];
      const existing = known.find((named) => named.version === version);
      if (existing !== undefined && existing.namedAt <= namedAt) continue;
      if (existing === undefined) {
        log.write('weightsNamed', { model, version, ageMilliseconds: Math.round(ageMilliseconds) });
        changed = true;
      }
      const others = known.filter((named) => named.version !== version);
      const all = [...others, { version, namedAt }];
      all.sort((left, right) => left.version - right.version);
      const ageOf = (named: NamedVersion): Milliseconds => now - named.namedAt;
      weights.set(model, namingsInForce(all, ageOf, settings.bounds));
    }
    if (changed) options.onWeights?.();
  };

  return {
    get table() {
      return table;
    },
    directory,
    get confirmedAt() {
      return confirmedAt;
    },
    get index() {
      return index;
    },
    get entries() {
      return entries;
    },
    weightsOf: (model) => weights.get(model) ?? [],
    apply: (update, askedAt, now) => {
      const isUpToDate = update.configuration === null || applyConfiguration(update.configuration);
      applyWeights(update, now);
      const records = recordFilter.usable(update.records, Date.now());
      const departures = recordFilter.usableDepartures(update.departures, Date.now());
      directory.apply({ ...update, records, departures }, now);
      if (update.entries > 0 && update.entries !== entries) {
        log.write('entriesCounted', {
          control: update.control,
          entries: update.entries,
          former: entries,
        });
        entries = update.entries;
      }
      index = update.entryIndex;
      if (!isUpToDate || update.confirmedAgeMilliseconds === null) return;
      confirmedAt = Math.max(confirmedAt, askedAt - update.confirmedAgeMilliseconds);
    },
  };
}
