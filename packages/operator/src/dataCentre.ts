/** A declared data centre. */
export interface DataCentreDefinition<Name extends string> {
  readonly name: Name;
  readonly region: string;
}

/** Declares a data centre; links between regions have less bandwidth than links within one. */
export function dataCentre<const Name extends string>(
  name: Name,
  options: { readonly region: string },
): DataCentreDefinition<Name> {
  return { name, region: options.region };
}
