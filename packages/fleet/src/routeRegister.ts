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
  /** Latest targets of each model, in commit order. */
  readonly weights: readonly WeightsTarget[];
}

/** Replicated state of a deployment whose operators assign the configuration versions. */
export type RouteRegister = ReplicatedState<RouteCommand, RouteResult, null, RouteRegisterState>;

/** Latest targets kept per model: a new one may be set before the previous is rolled out. */
const MAXIMUM_TARGETS_PER_MODEL = 4;

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
    const latestTargets = modelTargets.slice(1 - MAXIMUM_TARGETS_PER_MODEL);
    const otherTargets = weights.filter((target) => target.model !== model);
    weights = [...otherTargets, ...latestTargets, { model, version, namedAt }];
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
