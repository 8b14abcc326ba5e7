import type { ReplicatedState } from '@burdockrail/agreement/replicatedState.js';

/** Commands of the register; each may be proposed again without effect. */
export type RouteCommand =
  | {
      readonly kind: 'configure';
      readonly version: number;
      /** Document as operators sent it, compressed. */
      readonly document: Uint8Array;
    }
  | ({ readonly kind: 'nameWeights' } & WeightsNaming);

/** A version of a model's weights that operators named. */
export interface WeightsNaming {
  readonly model: string;
  readonly version: number;
  /** Time of day of the process that took the order, in Unix milliseconds. */
  readonly namedAt: number;
}

/** Version in force after a command. */
export interface RouteResult {
  readonly version: number;
  /** True when the command brought the version. */
  readonly taken: boolean;
}

/** A routing configuration in the register. */
export interface RegisteredRoutes {
  readonly version: number;
  readonly document: Uint8Array;
}

/** The whole state. */
export interface RouteRegisterState {
  readonly configuration: RegisteredRoutes | null;
  /** Latest namings of each model, in the order in which they were committed. */
  readonly weights: readonly WeightsNaming[];
}

/** Replicated state of a deployment whose operators number their configurations. */
export type RouteRegister = ReplicatedState<RouteCommand, RouteResult, null, RouteRegisterState>;

/** Namings of a model that are kept: one may come before the former is in place. */
const NAMINGS_KEPT = 4;

/**
 * Creates an empty register.
 *
 * @remarks
 * The highest version wins. Another document under a version that is held changes nothing, so what
 * was acknowledged first stays.
 */
export function createRouteRegister(): RouteRegister {
  let configuration: RegisteredRoutes | null = null;
  let weights: readonly WeightsNaming[] = [];
  const state = (): RouteRegisterState => ({ configuration, weights });

  const configure = (version: number, document: Uint8Array): RouteResult => {
    const held = configuration?.version ?? 0;
    if (version <= held) return { version: held, taken: false };
    configuration = { version, document };
    return { version, taken: true };
  };

  const nameWeights = ({ model, version, namedAt }: WeightsNaming): RouteResult => {
    const ofModel = weights.filter((naming) => naming.model === model);
    const held = ofModel.at(-1)?.version ?? 0;
    if (version <= held) return { version: held, taken: false };
    const kept = ofModel.slice(1 - NAMINGS_KEPT);
    const others = weights.filter((naming) => naming.model !== model);
    weights = [...others, ...kept, { model, version, namedAt }];
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
