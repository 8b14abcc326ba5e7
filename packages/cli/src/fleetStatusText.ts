import type { Announcement } from '@burdockrail/protocol/protocolMembership.js';
import type { FleetStatus, GroupView, ProcessView } from './fleetStatus.js';
import { tableLines } from './textTable.js';

/** Length to which digests are shortened for display. */
const SHORT_DIGEST_CHARACTERS = 12;

const BYTES_PER_MEBIBYTE = 1_048_576;

/** Formats the state of a fleet as text lines. */
export function fleetStatusLines(status: FleetStatus): readonly string[] {
  return [
    ...section('in force', revisionLines(status)),
    ...section('processes', processLines(status.processes)),
    ...section('groups', status.groups.length === 0 ? ['none'] : status.groups.flatMap(groupLines)),
    ...section('upstreams', upstreamLines(status.upstreams)),
    ...section('cut off', cutOffLines(status)),
  ];
}

function section(title: string, lines: readonly string[]): readonly string[] {
  return [title, ...lines.map((line) => `  ${line}`)];
}

function revisionLines(status: FleetStatus): readonly string[] {
  const total = status.processes.length;
  return status.revisions.map(({ revision, digest, processes }, position) => {
    const names = position === 0 ? '' : `: ${processes.join(', ')}`;
    const label =
      revision === 0 ? 'no configuration' : `revision ${revision}  ${shortenDigest(digest)}`;
    return `${label}  ${processes.length} of ${total} processes${names}`;
  });
}

function processLines(processes: readonly ProcessView[]): readonly string[] {
  const header = ['name', 'data centre', 'roles', 'revision', 'memory'];
  const rows = processes.map(({ name, dataCentre, status, failure }) => {
    if (status === null) return [name, dataCentre ?? '?', '-', '-', `no answer: ${failure ?? ''}`];
    const memory = `${Math.round(status.residentBytes / BYTES_PER_MEBIBYTE)} MiB`;
    return [name, dataCentre ?? '?', status.roles.join(','), String(status.revision), memory];
  });
  return tableLines(header, rows);
}

function groupLines(group: GroupView): readonly string[] {
  const leader = group.leader ?? 'no leader';
  return [
    `${group.group}: ${leader}, term ${group.term}, committed ${group.commitIndex}`,
    `  voters ${formatNames(group.voters)}; learners ${formatNames(group.learners)}`,
  ];
}

function upstreamLines(upstreams: readonly Announcement[]): readonly string[] {
  const header = ['agent', 'data centre', 'service', 'state', 'version', 'digest'];
  const rows = upstreams.map((upstream) => {
    const { agent, dataCentre, service, serving } = upstream;
    const version = serving === undefined ? '-' : `${serving.model} ${serving.version}`;
    const digest = serving === undefined ? '-' : shortenDigest(serving.digest);
    return [agent, dataCentre, service, upstreamState(upstream), version, digest];
  });
  return tableLines(header, rows);
}

function upstreamState({ state, ready, rollout }: Announcement): string {
  if (state === 'leaving') return 'leaving';
  if (ready) return rollout === undefined ? 'live' : 'live, loading';
  if (rollout === undefined) return 'not ready';
  return `loading ${rollout.heldChunks}/${rollout.chunks}`;
}

function cutOffLines(status: FleetStatus): readonly string[] {
  if (status.cutOff.length === 0) return ['none'];
  return status.cutOff.map(({ dataCentre, reason }) => `${dataCentre}: ${reason}`);
}

function formatNames(names: readonly string[]): string {
  return names.length === 0 ? '-' : names.join(', ');
}

function shortenDigest(digest: string): string {
  return digest.slice(0, SHORT_DIGEST_CHARACTERS);
}
