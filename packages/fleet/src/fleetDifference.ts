import { formatFoundValue } from '@burdockrail/common/fieldIssue.js';
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

/** Differences sorted by path; `null` stands for no configuration. */
export function fleetDifference(
  before: FleetConfiguration | null,
  after: FleetConfiguration,
): readonly FleetChange[] {
  const leavesBefore = before === null ? new Map<string, unknown>() : leavesOf(before);
  const leavesAfter = leavesOf(after);
  const paths = [...new Set([...leavesBefore.keys(), ...leavesAfter.keys()])].sort();
  return paths.flatMap((path) => changeAt(path, leavesBefore, leavesAfter));
}

const changeTexts = {
  added: (change) => `+ ${change.path}: ${formatFoundValue(change.after)}`,
  removed: (change) => `- ${change.path}: ${formatFoundValue(change.before)}`,
  changed: (change) =>
    `~ ${change.path}: ${formatFoundValue(change.before)} -> ${formatFoundValue(change.after)}`,
} satisfies {
  readonly [Kind in FleetChange['kind']]: (
    change: Extract<FleetChange, { readonly kind: Kind }>,
  ) => string;
};

/** Formats a change as one line: `+` added, `-` removed, `~` changed. */
export function formatFleetChange(change: FleetChange): string {
  return (changeTexts[change.kind] as (change: FleetChange) => string)(change);
}

function changeAt(
  path: string,
  leavesBefore: ReadonlyMap<string, unknown>,
  leavesAfter: ReadonlyMap<string, unknown>,
): readonly FleetChange[] {
  const before = leavesBefore.get(path);
  const after = leavesAfter.get(path);
  if (!leavesBefore.has(path)) return [{ kind: 'added', path, after }];
  if (!leavesAfter.has(path)) return [{ kind: 'removed', path, before }];
  return before === after ? [] : [{ kind: 'changed', path, before, after }];
}

function leavesOf(fleet: FleetConfiguration): ReadonlyMap<string, unknown> {
  const leaves = new Map<string, unknown>();
  collectLeaves('', canonicalFleet(fleet), leaves);
  return leaves;
}

function collectLeaves(path: string, value: unknown, leaves: Map<string, unknown>): void {
  if (Array.isArray(value)) {
    for (const element of value) collectLeaves(`${path}[${elementKey(element)}]`, element, leaves);
  } else if (value !== null && typeof value === 'object') {
    for (const [key, child] of Object.entries(value)) {
      if (child === undefined) continue;
      collectLeaves(path === '' ? key : `${path}.${key}`, child, leaves);
    }
  } else leaves.set(path, value);
}

/** Key that identifies an element within its list. */
function elementKey(element: unknown): string {
  const { name, model, method, path } = element as Readonly<Record<string, string | undefined>>;
  return name ?? model ?? `${method ?? ''} ${path ?? ''}`;
}
