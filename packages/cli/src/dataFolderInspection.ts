import { readdir } from 'node:fs/promises';
import { basename, join, resolve } from 'node:path';
import type { StoredReplica } from '@burdockrail/agreement/replicaEffect.js';
import { ResultError, toResultError } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { readStorageFolder, SNAPSHOT_FILE } from '@burdockrail/daemon/storageReader.js';
import {
  createFleetRegister,
  type FleetCommand,
  type FleetRegister,
} from '@burdockrail/fleet/fleetRegister.js';

/** Name of the quorum group that stores the fleet configurations. */
const FLEET_GROUP = 'fleet';

/** A configuration in the stored state of a replica. */
export interface StoredConfiguration {
  readonly revision: number;
  readonly digest: string;
  /** Whether this replica knew that it is committed; it may be committed even if false. */
  readonly isKnownCommitted: boolean;
}

/** Contents of the folder of one group. */
export interface GroupInspection {
  readonly group: string;
  readonly incarnation: string;
  readonly groupId: string;
  readonly term: number;
  readonly votedFor: string | null;
  readonly snapshotIndex: number;
  /** Highest index that this replica knew to be committed; the group may have committed more. */
  readonly commitIndex: number;
  readonly lastIndex: number;
  readonly voters: readonly string[];
  readonly learners: readonly string[];
  /** Length of the intact part of the log in bytes; `null` if no unsynced tail follows it. */
  readonly soundBytes: number | null;
  /** Latest configuration in the snapshot and the log; only for the fleet group. */
  readonly configuration: StoredConfiguration | null;
}

/**
 * Reads a data folder, or the folder of one group in it.
 *
 * @remarks
 * Its process must be stopped, because a running one may replace files during the read. Rejects
 * with `StorageCorrupt` if a group's synced data fails its checksum, and with `SettingsUnreadable`
 * if the folder cannot be read or contains no group.
 */
export async function inspectDataFolder(folder: string): Promise<readonly GroupInspection[]> {
  const path = resolve(folder);
  const fileNames = await listFolder(path);
  if (fileNames.includes(SNAPSHOT_FILE)) return [await inspectGroup(path)];
  const groups: GroupInspection[] = [];
  for (const name of fileNames) {
    const groupFileNames = await listFolder(join(path, name)).catch((): readonly string[] => []);
    if (groupFileNames.includes(SNAPSHOT_FILE)) groups.push(await inspectGroup(join(path, name)));
  }
  if (groups.length > 0) return groups;
  throw new ResultError(ResultCode.SettingsUnreadable, `${folder} contains no group`);
}

async function listFolder(path: string): Promise<readonly string[]> {
  try {
    return (await readdir(path)).sort();
  } catch (error) {
    throw toResultError(error, ResultCode.SettingsUnreadable);
  }
}

async function inspectGroup(path: string): Promise<GroupInspection> {
  const group = basename(path);
  const folder = await readStorageFolder(path).catch((error: unknown) => {
    const { code, message } = toResultError(error, ResultCode.StorageCorrupt);
    throw new ResultError(code, `${group}: ${message}`);
  });
  if (folder === null)
    throw new ResultError(ResultCode.SettingsUnreadable, `${path} contains no replica state`);
  const { stored, incarnation, validLog, hasIncompleteTail } = folder;
  const { groupId, membership, index } = latestMembership(stored);
  return {
    group,
    incarnation,
    groupId,
    term: stored.term,
    votedFor: stored.votedFor,
    snapshotIndex: index,
    commitIndex: knownCommitIndex(stored),
    lastIndex: stored.entries.at(-1)?.index ?? index,
    voters: membership.voters.map(({ id }) => id),
    learners: membership.learners.map(({ id }) => id),
    soundBytes: hasIncompleteTail ? validLog.length : null,
    configuration: group === FLEET_GROUP ? latestConfiguration(stored) : null,
  };
}

/** Returns the snapshot with the membership of the last entry that changes the membership. */
function latestMembership({ snapshot, entries }: StoredReplica): StoredReplica['snapshot'] {
  return entries.reduce(
    (latest, { payload }) =>
      payload.kind === 'membership' ? { ...latest, membership: payload.membership } : latest,
    snapshot,
  );
}

function latestConfiguration(stored: StoredReplica): StoredConfiguration | null {
  const register = createFleetRegister();
  register.restore(stored.snapshot.data);
  let changedAt = stored.snapshot.index;
  for (const { index, term, payload } of stored.entries) {
    if (payload.kind !== 'command') continue;
    const before = currentRevision(register);
    register.apply(payload.command as FleetCommand, { index, term });
    if (currentRevision(register) !== before) changedAt = index;
  }
  const current = register.query({ kind: 'current' });
  if (current === null || !('revision' in current)) return null;
  const { revision, digest } = current;
  return { revision, digest, isKnownCommitted: changedAt <= knownCommitIndex(stored) };
}

function currentRevision(register: FleetRegister): number {
  const current = register.query({ kind: 'current' });
  return current !== null && 'revision' in current ? current.revision : 0;
}

/** Highest index known to be committed; a snapshot covers only committed entries. */
function knownCommitIndex({ commitIndex, snapshot }: StoredReplica): number {
  return Math.max(commitIndex, snapshot.index);
}

/** Formats the inspection of one group as text lines. */
export function inspectionLines(group: GroupInspection): readonly string[] {
  const { configuration, soundBytes } = group;
  return [
    `${group.group}: incarnation ${group.incarnation}, group id ${group.groupId}`,
    `  term ${group.term}, voted for ${group.votedFor ?? 'nobody'}`,
    `  snapshot at ${group.snapshotIndex}, committed at least ${group.commitIndex}, log up to ${group.lastIndex}`,
    `  voters ${formatNames(group.voters)}; learners ${formatNames(group.learners)}`,
    ...(configuration === null ? [] : [`  ${formatConfiguration(configuration)}`]),
    ...(soundBytes === null ? [] : [`  an unsynced tail follows byte ${soundBytes} of the log`]),
  ];
}

function formatConfiguration({ revision, digest, isKnownCommitted }: StoredConfiguration): string {
  const note = isKnownCommitted ? '' : ' (not known to be committed)';
  return `latest configuration: revision ${revision}, digest ${digest}${note}`;
}

function formatNames(names: readonly string[]): string {
  return names.length === 0 ? '-' : names.join(', ');
}
