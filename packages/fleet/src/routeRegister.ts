import type { ReplicatedState } from '@burdockrail/agreement/replicatedState.js';

/** Commands of the register; each may be proposed again without effect. */
export type RouteCommand =
  | {
      readonly kind: 'configure';
      readonly version: number;
      /** Document as operators sent it, compressed. */
      readonly document: Uint8Array;
    }
  | { readonly kind: 'nameWeights'; readonly model: string; readonly version: number };

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
  /** Newest named version of each model. */
  readonly weights: readonly (readonly [model: string, version: number])[];
}

/** Replicated state of a deployment whose operators number their configurations. */
export type RouteRegister = ReplicatedState<RouteCommand, RouteResult, null, RouteRegisterState>;

/**
 * Creates an empty register.
 *
 * @remarks
 * The highest version wins. Another document under a version that is held changes nothing, so what
 * was acknowledged first stays.
 */
export function createRouteRegister(): RouteRegister {
  let configuration: RegisteredRoutes | null = null;
  let weights = new Map<string, number>();
  const state = (): RouteRegisterState => ({ configuration, weights: [...weights] });

  const configure = (version: number, document: Uint8Array): RouteResult => {
    const held = configuration?.version ?? 0;
    if (version <= held) return { version: held, taken: false };
    configuration = { version, document };
    return { version, taken: true };
  };

  const nameWeights = (model: string, version: number): RouteResult => {
    const held = weights.get(model) ?? 0;
    if (version <= held) return { version: held, taken: false };
    weights.set(model, version);
    return { version, taken: true };
  };

  return {
    apply: (command) =>
      command.kind === 'configure'
        ? configure(command.version, command.document)
        : nameWeights(command.model, command.version),
    query: state,
    snapshot: state,
    restore: (snapshot) => {
      const restored = snapshot as RouteRegisterState;
      configuration = restored.configuration;
      weights = new Map(restored.weights);
    },
  };
}
