import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { WeightsTarget } from '@burdockrail/fleet/routeRegister.js';
import type { DesiredWeights } from '@burdockrail/protocol/protocolDirectory.js';
import type { GatewayBounds } from './gatewaySettings.js';
import { namingAge, namingsInForce } from './versionRule.js';

/** Namings of weights as a control process tells them to others. */
export interface NamedWeights {
  /**
   * Namings in force with their ages: the time since this process learnt of one, or the wall-clock
   * time since the naming if longer, because a restarted process learnt of it only now.
   */
  inForce(
    targets: readonly WeightsTarget[],
    now: Milliseconds,
    wallClock: number,
  ): readonly DesiredWeights[];
}

/** Creates the record of a process that knows of no naming. */
export function createNamedWeights(
  bounds: Pick<GatewayBounds, 'versionMilliseconds'>,
): NamedWeights {
  let knownSince = new Map<string, Milliseconds>();
  return {
    inForce: (targets, now, wallClock) => {
      const keyOf = ({ model, version }: WeightsTarget): string => `${model}@${version}`;
      knownSince = new Map(
        targets.map((target) => [keyOf(target), knownSince.get(keyOf(target)) ?? now]),
      );
      const named = targets.map((target): DesiredWeights => {
        const knownFor = now - (knownSince.get(keyOf(target)) ?? now);
        const ageMilliseconds = namingAge(knownFor, target.namedAt, wallClock);
        return { model: target.model, version: target.version, ageMilliseconds };
      });
      const models = [...new Set(named.map(({ model }) => model))];
      return models.flatMap((model) =>
        namingsInForce(
          named.filter((weights) => weights.model === model),
          ({ ageMilliseconds }) => ageMilliseconds,
          bounds,
        ),
      );
    },
  };
}
