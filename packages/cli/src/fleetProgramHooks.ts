/**
 * Node.js module loader hooks for fleet programs: they transpile TypeScript in memory, and resolve
 * the operator library even if it is not installed near the program.
 */
import { readFile } from 'node:fs/promises';
import type { LoadHook, ResolveHook } from 'node:module';
import { fileURLToPath } from 'node:url';

const LIBRARY_PREFIX = '@burdockrail/';
const TYPESCRIPT_FILE = /\.m?ts$/u;

/** Resolves a module; library modules fall back to the copies that this package depends on. */
export const resolve: ResolveHook = async (specifier, context, nextResolve) => {
  try {
    return await nextResolve(specifier, context);
  } catch (error) {
    if (!specifier.startsWith(LIBRARY_PREFIX)) throw error;
    return nextResolve(specifier, { ...context, parentURL: import.meta.url });
  }
};

/** Loads a module; TypeScript files are transpiled without type checking. */
export const load: LoadHook = async (url, context, nextLoad) => {
  if (!url.startsWith('file:') || !TYPESCRIPT_FILE.test(url)) return nextLoad(url, context);
  const path = fileURLToPath(url);
  const { default: typescript } = await import('typescript');
  const transpiled = typescript.transpileModule(await readFile(path, 'utf8'), {
    fileName: path,
    compilerOptions: {
      module: typescript.ModuleKind.ESNext,
      target: typescript.ScriptTarget.ES2022,
      inlineSourceMap: true,
      inlineSources: true,
    },
  });
  return { format: 'module', source: transpiled.outputText, shortCircuit: true };
};
