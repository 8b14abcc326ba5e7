import { describeFound } from '@burdockrail/common/fieldIssue.js';
import { canonicalFleet } from './fleetCanonical.js';
import type { FleetConfiguration } from './fleetConfiguration.js';

/** One field that differs between two configurations. */
export type FleetChange =
  | { readonly kind: 'added'; readonly path: string; readonly after: unknown }
  | { readonly kind: 'removed'; readonly path: string; readonly before: unknown }
  | {
      readonly kind: 'changed';
      readonly path: string;
      readonly before: unknown;
      readonly after: unknown;
    };

/** Differences by path, in the order of the paths; `null` stands for no configuration at all. */
export function fleetDifference(
  before: FleetConfiguration | null,
  after: FleetConfiguration,
): readonly FleetChange[] {
  const old = before === null ? new Map<string, unknown>() : leavesOf(before);
  const next = leavesOf(after);
  const paths = [...new Set([...old.keys(), ...next.keys()])].sort();
  return paths.flatMap((path) => changeAt(path, old, next));
}

const changeTexts = {
  added: (change) => `+ ${change.path}: ${describeFound(change.after)}`,
  removed: (change) => `- ${change.path}: ${describeFound(change.before)}`,
  changed: (change) =>
    `~ ${change.path}: ${describeFound(change.before)} -> ${describeFound(change.after)}`,
} satisfies {
  readonly [Kind in FleetChange['kind']]: (
    change: Extract<FleetChange, { readonly kind: Kind }>,
  ) => string;
};

/** One line for a change: `+` added, `-` removed, `~` changed. */
export function formatFleetChange(change: FleetChange): string {
  return (changeTexts[change.kind] as (change: FleetChange) => string)(change);
}

function changeAt(
  path: string,
  old: ReadonlyMap<string, unknown>,
  next: ReadonlyMap<string, unknown>,
): readonly FleetChange[] {
  const before = old.get(path);
  const after = next.get(path);
  if (!old.has(path)) return [{ kind: 'added', path, after }];
  if (!next.has(path)) return [{ kind: 'removed', path, before }];
  return before === after ? [] : [{ kind: 'changed', path, before, after }];
}

function leavesOf(fleet: FleetConfiguration): ReadonlyMap<string, unknown> {
  const leaves = new Map<string, unknown>();
  collect('', canonicalFleet(fleet), leaves);
  return leaves;
}

function collect(path: string, value: unknown, leaves: Map<string, unknown>): void {
  if (Array.isArray(value)) {
    for (const element of value) collect(`${path}[${elementKey(element)}]`, element, leaves);
  } else if (value !== null && typeof value === 'object') {
    for (const [key, child] of Object.entries(value)) {
      if (child === undefined) continue;
      collect(path === '' ? key : `${path}.${key}`, child, leaves);
    }
  } else leaves.set(path, value);
}

/** What tells the elements of one list apart. */
function elementKey(element: unknown): string {
  const { name, model, method, path } = element as Readonly<Record<string, string | undefined>>;
  return name ?? model ?? `${method ?? ''} ${path ?? ''}`;
}
