/** A declared version of weights or of an adapter. */
export interface VersionDefinition {
  readonly model: string;
  readonly version: string;
  readonly digest?: string;
}

/**
 * Declares a version of a model or adapter in the weight store.
 *
 * @remarks
 * If a digest is given (SHA-256 of the weights, in lower-case hexadecimal), weights that the store
 * has under this version but with another digest are rejected.
 */
export function version(model: string, name: string, digest?: string): VersionDefinition {
  return { model, version: name, ...(digest === undefined ? {} : { digest }) };
}
