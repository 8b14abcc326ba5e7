import { resultName } from '@burdockrail/common/resultCode.js';
import type { GroupStatus, ProcessStatus } from '@burdockrail/protocol/protocolConfiguration.js';
import type { Announcement } from '@burdockrail/protocol/protocolMembership.js';
import type { TargetAnswer } from './operatorClient.js';
import { latestAnnouncements, type DirectoryAnswer } from './upstreamAnnouncements.js';

/** A process as it answered, or why it did not. */
export interface ProcessView {
  readonly name: string;
  readonly dataCentre: string | null;
  readonly status: Omit<
    ProcessStatus,
    'groups' | 'name' | 'dataCentre' | 'sentBytesByFamily'
  > | null;
  /** Why the process did not answer. */
  readonly failure: string | null;
}

/** A quorum group as its leader sees it, or the most advanced replica where none leads. */
export interface GroupView extends Omit<GroupStatus, 'member' | 'role'> {
  readonly seenBy: string;
  readonly replicas: number;
}

/** A revision and the processes that have it in force. */
export interface RevisionView {
  readonly revision: number;
  readonly digest: string;
  readonly processes: readonly string[];
}

/** A data centre that the others, or the command line, cannot reach. */
export interface CutOffView {
  readonly dataCentre: string;
  readonly reason: string;
}

/** State of a fleet, put together from the answers of its processes. */
export interface FleetStatus {
  readonly revisions: readonly RevisionView[];
  readonly processes: readonly ProcessView[];
  readonly groups: readonly GroupView[];
  readonly upstreams: readonly Announcement[];
  readonly cutOff: readonly CutOffView[];
}

/** Puts the answers of processes together. */
export function fleetStatus(
  statuses: readonly TargetAnswer<ProcessStatus>[],
  directories: readonly DirectoryAnswer[],
): FleetStatus {
  const reports = statuses.flatMap((answer) => (answer.kind === 'answered' ? [answer.reply] : []));
  return {
    revisions: revisionViews(reports),
    processes: statuses.map(processView),
    groups: groupViews(reports),
    upstreams: latestAnnouncements(directories),
    cutOff: [...silentDataCentres(statuses), ...unseenDataCentres(directories)],
  };
}

function processView(answer: TargetAnswer<ProcessStatus>): ProcessView {
  const { target } = answer;
  if (answer.kind === 'failed') {
    const dataCentre = target.dataCentre ?? null;
    const failure = `${answer.error.code} ${resultName(answer.error.code)}`;
    return { name: target.name, dataCentre, status: null, failure };
  }
  const { name, dataCentre, ...report } = answer.reply;
  const { incarnation, roles, revision, digest } = report;
  const { residentBytes, processorMilliseconds, controlBytesSent } = report;
  const load = { residentBytes, processorMilliseconds, controlBytesSent };
  const status = { incarnation, roles, revision, digest, ...load };
  return { name, dataCentre, status, failure: null };
}

function revisionViews(reports: readonly ProcessStatus[]): readonly RevisionView[] {
  const views = new Map<string, RevisionView>();
  for (const { revision, digest, name } of reports) {
    const key = `${revision} ${digest}`;
    const processes = [...(views.get(key)?.processes ?? []), name];
    views.set(key, { revision, digest, processes });
  }
  return [...views.values()].sort((left, right) => right.revision - left.revision);
}

function groupViews(reports: readonly ProcessStatus[]): readonly GroupView[] {
  const byGroup = new Map<string, GroupStatus[]>();
  for (const status of reports.flatMap((report) => report.groups)) {
    byGroup.set(status.group, [...(byGroup.get(status.group) ?? []), status]);
  }
  return [...byGroup.keys()].sort().flatMap((group) => {
    const replicas = byGroup.get(group) ?? [];
    const best = replicas.reduce((left, right) =>
      authority(right) > authority(left) ? right : left,
    );
    const { term, commitIndex, leader, member } = best;
    const voters = [...best.voters].sort();
    const learners = [...best.learners].sort();
    const view = { group, term, commitIndex, leader, voters, learners };
    return [{ ...view, seenBy: member, replicas: replicas.length }];
  });
}

/** Order of replicas as witnesses of their group: the leader of the highest term first. */
function authority(status: GroupStatus): number {
  return status.term * 2 + (status.role === 'leader' ? 1 : 0);
}

function silentDataCentres(
  statuses: readonly TargetAnswer<ProcessStatus>[],
): readonly CutOffView[] {
  const answersOf = new Map<string, boolean[]>();
  for (const answer of statuses) {
    const dataCentre =
      answer.kind === 'answered' ? answer.reply.dataCentre : answer.target.dataCentre;
    if (dataCentre === undefined) continue;
    const known = answersOf.get(dataCentre) ?? [];
    answersOf.set(dataCentre, [...known, answer.kind === 'answered']);
  }
  return [...answersOf]
    .filter(([, answers]) => !answers.includes(true))
    .map(([dataCentre, answers]) => ({
      dataCentre,
      reason: `no answer from its processes (${answers.length})`,
    }));
}

// An entry on the far side of a partition still answers an operator who can reach both sides; that
// it knows no upstream of a data centre which other entries know shows the cut.
function unseenDataCentres(directories: readonly DirectoryAnswer[]): readonly CutOffView[] {
  const seen = directories.flatMap((answer) =>
    answer.kind === 'answered'
      ? [{ entry: answer.target.name, dataCentres: dataCentresOf(answer.reply) }]
      : [],
  );
  const all = [...new Set(seen.flatMap((view) => [...view.dataCentres]))].sort();
  return all.flatMap((dataCentre) => {
    const blind = seen.filter((view) => !view.dataCentres.has(dataCentre));
    if (blind.length === 0) return [];
    const names = blind.map((view) => view.entry).join(', ');
    return [{ dataCentre, reason: `entries that see none of its upstreams: ${names}` }];
  });
}

function dataCentresOf(announcements: readonly Announcement[]): ReadonlySet<string> {
  return new Set(announcements.map((announcement) => announcement.dataCentre));
}
