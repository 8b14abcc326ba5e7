/**
 * Hooks of Node's module loader for fleet programs: TypeScript is translated in memory, and the
 * operator library is found even where the program's own folder has none.
 */
import { readFile } from 'node:fs/promises';
import type { LoadHook, ResolveHook } from 'node:module';
import { fileURLToPath } from 'node:url';

const LIBRARY_PREFIX = '@burdockrail/';
const TYPESCRIPT_FILE = /\.m?ts$/u;

/** Resolves a module; the library's modules fall back to those of this package. */
export const resolve: ResolveHook = async (specifier, context, nextResolve) => {
  try {
    return await nextResolve(specifier, context);
  } catch (error) {
    if (!specifier.startsWith(LIBRARY_PREFIX)) throw error;
    return nextResolve(specifier, { ...context, parentURL: import.meta.url });
  }
};

/** Loads a module; a TypeScript file is translated without a check of its types. */
export const load: LoadHook = async (url, context, nextLoad) => {
  if (!url.startsWith('file:') || !TYPESCRIPT_FILE.test(url)) return nextLoad(url, context);
  const path = fileURLToPath(url);
  const { default: typescript } = await import('typescript');
  const translated = typescript.transpileModule(await readFile(path, 'utf8'), {
    fileName: path,
    compilerOptions: {
      module: typescript.ModuleKind.ESNext,
      target: typescript.ScriptTarget.ES2022,
      inlineSourceMap: true,
      inlineSources: true,
    },
  });
  return { format: 'module', source: translated.outputText, shortCircuit: true };
};
