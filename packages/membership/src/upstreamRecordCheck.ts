import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { isHostAndPort } from '@burdockrail/protocol/protocolAddress.js';
import type {
  HeldModel,
  LoadVerdicts,
  UpstreamDeparture,
  UpstreamRecord,
} from '@burdockrail/protocol/protocolDirectory.js';

/** Longest name of an upstream, service, data centre or model, in characters. */
const LONGEST_NAME_CHARACTERS = 256;

/** Most requests that an upstream can run at once. */
const MAXIMUM_SLOTS = 1_000_000;

/** Most models that one upstream can hold. */
const MAXIMUM_MODELS = 1_024;

/** Largest difference between the clocks of two machines, in milliseconds. */
const MAXIMUM_CLOCK_DIFFERENCE_MILLISECONDS = 86_400_000;

/** Heartbeats that an upstream may have sent whatever its clock says: a day of one a second. */
const MAXIMUM_HEARTBEATS_BEFORE_START = 86_400;

const states: ReadonlySet<unknown> = new Set(['ready', 'draining', 'gone']);

/** Text that can be sent as the value of a header. */
const headerValuePattern = /^[\x21-\x7e](?:[\x20-\x7e]*[\x21-\x7e])?$/u;

function isName(value: unknown): value is string {
  return typeof value === 'string' && value !== '' && value.length <= LONGEST_NAME_CHARACTERS;
}

function isWholeNumber(value: unknown): value is number {
  return Number.isSafeInteger(value) && Number(value) >= 0;
}

function isHeldModel(value: unknown): value is HeldModel {
  if (typeof value !== 'object' || value === null) return false;
  const { model, version } = value as Partial<HeldModel>;
  return isName(model) && isWholeNumber(version);
}

/** True for a list of models that an upstream can hold. */
export function isHeldModels(value: unknown): value is readonly HeldModel[] {
  return Array.isArray(value) && value.length <= MAXIMUM_MODELS && value.every(isHeldModel);
}

/** True for verdicts that an agent can have on the loads of its engine. */
export function isLoadVerdicts(value: unknown): value is LoadVerdicts {
  if (typeof value !== 'object' || value === null) return false;
  const { startedAt, orders, sound, unsound } = value as Partial<LoadVerdicts>;
  const areNumbers = isWholeNumber(startedAt) && isWholeNumber(orders);
  return areNumbers && isHeldModels(sound) && isHeldModels(unsound);
}

type FieldChecks = { readonly [Field in keyof UpstreamRecord]-?: (value: unknown) => boolean };

const fieldChecks: FieldChecks = {
  id: (value) => isName(value) && headerValuePattern.test(value),
  service: isName,
  address: isHostAndPort,
  dataCentre: isName,
  slots: (value) => isWholeNumber(value) && value <= MAXIMUM_SLOTS,
  state: (value) => states.has(value),
  startedAt: isWholeNumber,
  sequence: isWholeNumber,
  models: isHeldModels,
  loads: (value) => value === undefined || isLoadVerdicts(value),
};

function latestStart(wallTime: Milliseconds): Milliseconds {
  return wallTime + MAXIMUM_CLOCK_DIFFERENCE_MILLISECONDS;
}

/**
 * Returns why an upstream cannot have started at a time; `null` if it can, or if the time is unknown.
 *
 * @param startedAt - Unix time in milliseconds.
 * @param wallTime - Unix time in milliseconds.
 */
export function startIssue(startedAt: number | null, wallTime: Milliseconds): string | null {
  const isInFuture = startedAt !== null && startedAt > latestStart(wallTime);
  return isInFuture ? 'startedAt: in the future' : null;
}

const departureFields: readonly (keyof UpstreamDeparture)[] = [
  'id',
  'startedAt',
  'sequence',
  'state',
];

/**
 * Returns why a departure is that of no upstream; `null` if it can be one.
 *
 * @param departure - departure of any origin and of any shape.
 * @param wallTime - Unix time in milliseconds.
 */
export function departureIssue(departure: unknown, wallTime: Milliseconds): string | null {
  if (typeof departure !== 'object' || departure === null) return 'not a departure';
  const fields = departure as Readonly<Record<string, unknown>>;
  const invalid = departureFields.find((name) => !fieldChecks[name](fields[name]));
  if (invalid !== undefined) return `${invalid}: out of range`;
  if (fields.state === 'ready') return 'state: not of a departure';
  return startIssue((departure as UpstreamDeparture).startedAt, wallTime);
}

/**
 * Returns why a record names no upstream that can be used; `null` if it names one.
 *
 * @remarks
 * An upstream sends at most one heartbeat a millisecond. Without these limits a start in the future
 * or a number that nobody can have reached would make all later heartbeats look old.
 *
 * @param record - record of any origin and of any shape.
 * @param wallTime - Unix time in milliseconds.
 */
export function upstreamRecordIssue(record: unknown, wallTime: Milliseconds): string | null {
  if (typeof record !== 'object' || record === null) return 'not a record';
  const fields = record as Readonly<Record<string, unknown>>;
  const invalid = Object.entries(fieldChecks).find(([name, isValid]) => !isValid(fields[name]));
  if (invalid !== undefined) return `${invalid[0]}: out of range`;
  const { startedAt, sequence } = record as UpstreamRecord;
  const issue = startIssue(startedAt, wallTime);
  if (issue !== null) return issue;
  const possibleHeartbeats = Math.max(0, wallTime - startedAt) + MAXIMUM_HEARTBEATS_BEFORE_START;
  return sequence > possibleHeartbeats ? 'sequence: more than one a millisecond' : null;
}
