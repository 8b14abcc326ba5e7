import { stringify } from 'yaml';
import { z } from 'zod';
import { settingsSchema } from './settingsSchema.js';

/** The fields of a JSON schema from which defaults are read. */
interface SchemaNode {
  readonly default?: unknown;
  readonly properties?: Readonly<Record<string, SchemaNode>>;
}

/** Formats all settings fields that have a default, with the default, as YAML. */
export function settingsDefaultsYaml(): string {
  const schema = z.toJSONSchema(settingsSchema, { io: 'input' }) as SchemaNode;
  return stringify(defaultsOf(schema));
}

function defaultsOf(node: SchemaNode): unknown {
  if (node.default !== undefined) return node.default;
  const fields = Object.entries(node.properties ?? {})
    .map(([key, child]) => [key, defaultsOf(child)] as const)
    .filter(([, value]) => value !== undefined);
  return fields.length === 0 ? undefined : Object.fromEntries(fields);
}
