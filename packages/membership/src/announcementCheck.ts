import { isPort } from '@burdockrail/protocol/protocolAddress.js';
import type {
  Announcement,
  DirectoryUpdate,
  LoadReport,
  LoadUpdate,
} from '@burdockrail/protocol/protocolMembership.js';

type Fields = Readonly<Record<string, unknown>>;

function isFields(value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isText(value: unknown): value is string {
  return typeof value === 'string' && value !== '';
}

function isTextList(value: unknown): value is readonly string[] {
  return Array.isArray(value) && value.every((item) => typeof item === 'string');
}

function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && Number(value) >= 0;
}

function isAmount(value: unknown): value is number {
  return typeof value === 'number' && value >= 0 && value <= Number.MAX_SAFE_INTEGER;
}

/** True for a load by which requests can be routed. */
export function isLoadReport(value: unknown): value is LoadReport {
  if (!isFields(value)) return false;
  return [value.running, value.waiting, value.capacity, value.cacheUse].every(isAmount);
}

function isServing(value: unknown): boolean {
  return (
    isFields(value) &&
    [value.model, value.version, value.digest].every(isText) &&
    isTextList(value.adapters)
  );
}

function isRollout(value: unknown): boolean {
  return isFields(value) && isText(value.digest) && [value.heldChunks, value.chunks].every(isCount);
}

function isOptional(isValid: (value: unknown) => boolean): (value: unknown) => boolean {
  return (value) => value === undefined || isValid(value);
}

type FieldChecks<Message> = {
  readonly [Field in keyof Required<Message>]: (value: unknown) => boolean;
};

const announcementChecks: FieldChecks<Announcement> = {
  agent: isText,
  incarnation: isText,
  sequence: isCount,
  dataCentre: isText,
  region: isText,
  address: (value) => isFields(value) && isText(value.host) && isPort(value.port),
  service: isText,
  loadRegistrar: isOptional(isText),
  state: (value) => value === 'present' || value === 'leaving',
  serving: isOptional(isServing),
  ready: (value) => typeof value === 'boolean',
  load: isOptional(isLoadReport),
  prefixes: isTextList,
  rollout: isOptional(isRollout),
};

const loadUpdateChecks: FieldChecks<LoadUpdate> = {
  agent: isText,
  sequence: isCount,
  load: isOptional(isLoadReport),
  heldChunks: isOptional(isCount),
  prefixes: isTextList,
};

function findIssue(
  message: unknown,
  checks: Readonly<Record<string, (value: unknown) => boolean>>,
): string | null {
  if (!isFields(message)) return 'not an object';
  const invalid = Object.entries(checks).find(([name, isValid]) => !isValid(message[name]));
  return invalid === undefined ? null : `${invalid[0]}: out of range`;
}

/** Returns why an announcement names no upstream that can be used; `null` if it names one. */
export function announcementIssue(announcement: unknown): string | null {
  return findIssue(announcement, announcementChecks);
}

/** Returns why a load update cannot be used; `null` if it can. */
export function loadUpdateIssue(update: unknown): string | null {
  return findIssue(update, loadUpdateChecks);
}

/** Returns an update without the announcements and loads that cannot be used. */
export function withoutOddAnnouncements(
  update: DirectoryUpdate,
  onIgnored: (issue: string) => void,
): DirectoryUpdate {
  const isUsable = (issue: string | null): boolean => {
    if (issue !== null) onIgnored(issue);
    return issue === null;
  };
  return {
    ...update,
    announcements: update.announcements.filter((item) => isUsable(announcementIssue(item))),
    loads: update.loads.filter((item) => isUsable(loadUpdateIssue(item))),
  };
}
