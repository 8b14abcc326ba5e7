import { createWeightContent, type WeightContent, type WeightVersion } from './weightContent.js';

/** All versions that a weight store and its origin know. */
export interface WeightCatalogue {
  /** Adds a version or replaces one of the same name. */
  add(version: WeightVersion): void;
  find(model: string, version: string): WeightContent | undefined;
}

/** Creates a catalogue; the bytes of a version are made when first asked for. */
export function createWeightCatalogue(versions: readonly WeightVersion[]): WeightCatalogue {
  const known = new Map<string, WeightVersion>();
  const contents = new Map<string, WeightContent>();
  const keyOf = (model: string, version: string): string => `${model}/${version}`;
  const add = (version: WeightVersion): void => {
    const key = keyOf(version.model, version.version);
    known.set(key, version);
    contents.delete(key);
  };
  for (const version of versions) add(version);
  return {
    add,
    find: (model, version) => {
      const key = keyOf(model, version);
      const description = known.get(key);
      if (description === undefined) return undefined;
      const content = contents.get(key) ?? createWeightContent(description);
      contents.set(key, content);
      return content;
    },
  };
}
