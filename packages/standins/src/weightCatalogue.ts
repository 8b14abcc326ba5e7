import { createWeightContent, type WeightContent, type WeightVersion } from './weightContent.js';

/** Versions of weights that a weight store and its origin share. */
export interface WeightCatalogue {
  /** Adds a version, or replaces the one with the same model and version name. */
  add(version: WeightVersion): void;
  find(model: string, version: string): WeightContent | undefined;
}

/** Creates a catalogue; the bytes of a version are generated on first use and kept. */
export function createWeightCatalogue(versions: readonly WeightVersion[]): WeightCatalogue {
  const versionsByKey = new Map<string, WeightVersion>();
  const contentsByKey = new Map<string, WeightContent>();
  const keyOf = (model: string, version: string): string => `${model}/${version}`;
  const add = (version: WeightVersion): void => {
    const key = keyOf(version.model, version.version);
    versionsByKey.set(key, version);
    contentsByKey.delete(key);
  };
  for (const version of versions) add(version);
  return {
    add,
    find: (model, version) => {
      const key = keyOf(model, version);
      const description = versionsByKey.get(key);
      if (description === undefined) return undefined;
      const content = contentsByKey.get(key) ?? createWeightContent(description);
      contentsByKey.set(key, content);
      return content;
    },
  };
}
