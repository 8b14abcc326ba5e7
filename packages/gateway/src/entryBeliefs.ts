import { inflateRawSync } from 'node:zlib';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { createDirectoryView, type DirectoryView } from '@burdockrail/membership/directoryView.js';
import type {
  CrashSighting,
  DirectoryUpdateSet,
  PackedConfiguration,
} from '@burdockrail/protocol/protocolDirectory.js';
import { createRouteTable, type RouteTable } from '@burdockrail/routing/routeTable.js';
import type { NamedVersion } from './versionRule.js';
import type { GatewayContext } from './gatewayContext.js';

/** Named versions of a model that are remembered; older ones are long out of service. */
const VERSIONS_KEPT = 8;

/** Entries assumed while no control process has told how many there are. */
const ASSUMED_ENTRIES = 8;

/** What an entry or agent believes; each belief has an age. */
export interface Beliefs {
  readonly table: RouteTable | null;
  readonly directory: DirectoryView;
  /** Time up to which everything committed is known here. */
  readonly confirmedAt: Milliseconds;
  readonly entries: number;
  /** Versions that were named for a model, the newest last. */
  weightsOf(model: string): readonly NamedVersion[];
  apply(update: DirectoryUpdateSet, askedAt: Milliseconds, now: Milliseconds): void;
}

/** Options of {@link createBeliefs}. */
export interface BeliefsOptions {
  readonly onTable?: (table: RouteTable) => void;
  readonly onWeights?: () => void;
  readonly onCrashes?: (crashes: readonly CrashSighting[]) => void;
}

/**
 * Creates the beliefs of a process that knows nothing yet.
 *
 * @remarks
 * A configuration of a lower version than the one in force is never taken, whichever control process
 * offers it.
 */
export function createBeliefs(context: GatewayContext, options: BeliefsOptions): Beliefs {
  const { log, dialect } = context;
  const directory = createDirectoryView();
  const weights = new Map<string, readonly NamedVersion[]>();
  let table: RouteTable | null = null;
  let confirmedAt = Number.NEGATIVE_INFINITY;
  let entries = ASSUMED_ENTRIES;

  const adopt = (packed: PackedConfiguration): void => {
    const former = table?.configuration.version ?? 0;
    if (packed.version <= former) return;
    const decoded = dialect.decodeConfiguration(inflateRawSync(packed.document).toString('utf8'));
    if (decoded.kind === 'failure') {
      // Control processes check what they commit, so this is a fault of this program.
      log.write('configurationRefused', { version: packed.version, reason: decoded.detail });
      return;
    }
    table = createRouteTable(decoded.value);
    log.write('configurationAdopted', {
      version: packed.version,
      former,
      routes: decoded.value.routes.length,
    });
    options.onTable?.(table);
  };

  const learnWeights = (update: DirectoryUpdateSet, now: Milliseconds): void => {
    let changed = false;
    for (const { model, version, ageMilliseconds } of update.weights) {
      const namedAt = now - ageMilliseconds;
      const known = weights.get(model) ?? [];
      const same = known.find((named) => named.version === version);
      if (same !== undefined && same.namedAt <= namedAt) continue;
      if (same === undefined) {
        log.write('weightsNamed', { model, version, ageMilliseconds: Math.round(ageMilliseconds) });
        changed = true;
      }
      const others = known.filter((named) => named.version !== version);
      const all = [...others, { version, namedAt }];
      weights.set(
        model,
        all.sort((left, right) => left.version - right.version).slice(-VERSIONS_KEPT),
      );
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
    get entries() {
      return entries;
    },
    weightsOf: (model) => weights.get(model) ?? [],
    apply: (update, askedAt, now) => {
      if (update.configuration !== null) adopt(update.configuration);
      learnWeights(update, now);
      directory.apply(update, now);
      if (update.entries > 0) entries = update.entries;
      if (update.crashes.length > 0) options.onCrashes?.(update.crashes);
      if (update.confirmedAgeMilliseconds === null) return;
      confirmedAt = Math.max(confirmedAt, askedAt - update.confirmedAgeMilliseconds);
    },
  };
}
