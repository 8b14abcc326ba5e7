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
 * With a digest (SHA-256 of the whole, in lower-case hexadecimal), weights that the store names by
 * this version but that have another digest are refused.
 */
export function version(model: string, name: string, digest?: string): VersionDefinition {
  return { model, version: name, ...(digest === undefined ? {} : { digest }) };
}
