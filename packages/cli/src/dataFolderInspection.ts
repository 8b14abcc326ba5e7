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

/** Name of the group whose state is the configurations. */
const FLEET_GROUP = 'fleet';

/** A configuration as a replica has stored it. */
export interface StoredConfiguration {
  readonly revision: number;
  readonly digest: string;
  /** Whether this replica knew that a quorum has it; the group may know more. */
  readonly isKnownCommitted: boolean;
}

/** What the folder of one group holds. */
export interface GroupInspection {
  readonly group: string;
  readonly incarnation: string;
  readonly groupId: string;
  readonly term: number;
  readonly votedFor: string | null;
  readonly snapshotIndex: number;
  /** What is known here to be committed; the group may have committed more. */
  readonly commitIndex: number;
  readonly lastIndex: number;
  readonly voters: readonly string[];
  readonly learners: readonly string[];
  /** Length of the sound part of the log in bytes, if an unsynced tail follows it. */
  readonly soundBytes: number | null;
  /** Latest configuration in snapshot and log, for the fleet group. */
  readonly configuration: StoredConfiguration | null;
}

/**
 * Reads a data folder, or the folder of one group in it.
 *
 * @remarks
 * Read it while its process is stopped; a running one may replace files in between. Rejects with
 * `StorageCorrupt` when a group's synced data fails its checksum, and with `SettingsUnreadable`
 * when there is nothing to read.
 */
export async function inspectDataFolder(folder: string): Promise<readonly GroupInspection[]> {
  const path = resolve(folder);
  const names = await namesIn(path);
  if (names.includes(SNAPSHOT_FILE)) return [await inspectGroup(path)];
  const groups: GroupInspection[] = [];
  for (const name of names) {
    const inner = await namesIn(join(path, name)).catch((): readonly string[] => []);
    if (inner.includes(SNAPSHOT_FILE)) groups.push(await inspectGroup(join(path, name)));
  }
  if (groups.length > 0) return groups;
  throw new ResultError(ResultCode.SettingsUnreadable, `${folder} holds no group`);
}

async function namesIn(path: string): Promise<readonly string[]> {
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
  if (folder === null) throw new ResultError(ResultCode.SettingsUnreadable, `${path} is blank`);
  const { stored, incarnation, cutTo } = folder;
  const { groupId, membership, index } = latestMembership(stored);
  return {
    group,
    incarnation,
    groupId,
    term: stored.term,
    votedFor: stored.votedFor,
    snapshotIndex: index,
    commitIndex: knownCommit(stored),
    lastIndex: stored.entries.at(-1)?.index ?? index,
    voters: membership.voters.map(({ id }) => id),
    learners: membership.learners.map(({ id }) => id),
    soundBytes: cutTo,
    configuration: group === FLEET_GROUP ? latestConfiguration(stored) : null,
  };
}

/** The snapshot with the membership of the last entry that changes it. */
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
  return { revision, digest, isKnownCommitted: changedAt <= knownCommit(stored) };
}

function currentRevision(register: FleetRegister): number {
  const current = register.query({ kind: 'current' });
  return current !== null && 'revision' in current ? current.revision : 0;
}

/** Index up to which entries are known to be committed; a snapshot holds only such entries. */
function knownCommit({ commitIndex, snapshot }: StoredReplica): number {
  return Math.max(commitIndex, snapshot.index);
}

/** Lines of one group for people. */
export function inspectionLines(group: GroupInspection): readonly string[] {
  const { configuration, soundBytes } = group;
  return [
    `${group.group}: incarnation ${group.incarnation}, founding ${group.groupId}`,
    `  term ${group.term}, voted for ${group.votedFor ?? 'nobody'}`,
    `  snapshot at ${group.snapshotIndex}, committed at least ${group.commitIndex}, log up to ${group.lastIndex}`,
    `  voters ${listOf(group.voters)}; learners ${listOf(group.learners)}`,
    ...(configuration === null ? [] : [`  ${configurationText(configuration)}`]),
    ...(soundBytes === null ? [] : [`  an unsynced tail follows byte ${soundBytes} of the log`]),
  ];
}

function configurationText({ revision, digest, isKnownCommitted }: StoredConfiguration): string {
  const note = isKnownCommitted ? '' : ' (not known here to be committed)';
  return `latest configuration: revision ${revision}, digest ${digest}${note}`;
}

function listOf(names: readonly string[]): string {
  return names.length === 0 ? '-' : names.join(', ');
}
