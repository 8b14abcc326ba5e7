import type { ReplicatedState } from '@burdockrail/agreement/replicatedState.js';

/** Commands of the register; all are idempotent. */
export type RouteCommand =
  | {
      readonly kind: 'configure';
      readonly version: number;
      /** Compressed document, as sent by the operators. */
      readonly document: Uint8Array;
    }
  | ({ readonly kind: 'nameWeights' } & WeightsTarget);

/** Version of a model's weights that operators set as the target. */
export interface WeightsTarget {
  readonly model: string;
  readonly version: number;
  /** Wall-clock time at the process that accepted the order, in Unix milliseconds. */
  readonly namedAt: number;
}

/** Result of a command, with the version in force after it. */
export interface RouteResult {
  readonly version: number;
  /** True when the command set this version. */
  readonly taken: boolean;
}

/** A routing configuration in the register. */
export interface RegisteredRoutes {
  readonly version: number;
  readonly document: Uint8Array;
}

/** Full state of the register. */
export interface RouteRegisterState {
  readonly configuration: RegisteredRoutes | null;
  /** Targets of each model that may still matter, in commit order. */
  readonly weights: readonly WeightsTarget[];
}

/** Replicated state of a deployment whose operators assign the configuration versions. */
export type RouteRegister = ReplicatedState<RouteCommand, RouteResult, null, RouteRegisterState>;

/**
 * Time for which a target may decide what is served, in milliseconds: longer than any deployment
 * lets an older version be served, and than clocks of processes differ.
 */
const TARGET_RETENTION_MILLISECONDS = 600_000;

/**
 * Targets of one model that may still matter.
 *
 * @remarks
 * Each target ends all versions before it after a time of its own, however many follow. Once that of
 * a target has passed, those before it decide nothing.
 *
 * @param now - time of the latest target, which is the same at all replicas.
 */
function retainedTargets(targets: readonly WeightsTarget[], now: number): readonly WeightsTarget[] {
  const firstNeeded = targets.findLastIndex(
    ({ namedAt }) => now - namedAt > TARGET_RETENTION_MILLISECONDS,
  );
  return targets.slice(Math.max(0, firstNeeded));
}

/**
 * Creates an empty register.
 *
 * @remarks
 * The highest version wins. A different document for the current version is ignored, so that the
 * document that was acknowledged first stays.
 */
export function createRouteRegister(): RouteRegister {
  let configuration: RegisteredRoutes | null = null;
  let weights: readonly WeightsTarget[] = [];
  const state = (): RouteRegisterState => ({ configuration, weights });

  const configure = (version: number, document: Uint8Array): RouteResult => {
    const currentVersion = configuration?.version ?? 0;
    if (version <= currentVersion) return { version: currentVersion, taken: false };
    configuration = { version, document };
    return { version, taken: true };
  };

  const nameWeights = ({ model, version, namedAt }: WeightsTarget): RouteResult => {
    const modelTargets = weights.filter((target) => target.model === model);
    const currentVersion = modelTargets.at(-1)?.version ?? 0;
    if (version <= currentVersion) return { version: currentVersion, taken: false };
    const otherTargets = weights.filter((target) => target.model !== model);
    const retained = retainedTargets(modelTargets, namedAt);
    weights = [...otherTargets, ...retained, { model, version, namedAt }];
    return { version, taken: true };
  };

  return {
    apply: (command) =>
      command.kind === 'configure'
        ? configure(command.version, command.document)
        : nameWeights(command),
    query: state,
    snapshot: state,
    restore: (snapshot) => {
      const restored = snapshot as RouteRegisterState;
      configuration = restored.configuration;
      weights = restored.weights;
    },
  };
}
