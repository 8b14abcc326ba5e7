import { resultName } from '@burdockrail/common/resultCode.js';
import type { GroupStatus, ProcessStatus } from '@burdockrail/protocol/protocolConfiguration.js';
import type { Announcement } from '@burdockrail/protocol/protocolMembership.js';
import type { TargetAnswer } from './operatorClient.js';
import { latestAnnouncements, type DirectoryAnswer } from './upstreamAnnouncements.js';

/** Status of a process, or the reason why it did not answer. */
export interface ProcessView {
  readonly name: string;
  readonly dataCentre: string | null;
  readonly status: Omit<
    ProcessStatus,
    'groups' | 'name' | 'dataCentre' | 'sentBytesByFamily'
  > | null;
  /** Reason why the process did not answer. */
  readonly failure: string | null;
}

/** State of a quorum group as its leader, or else the replica with the highest term, reports it. */
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

/** A data centre that the other data centres, or the command line, cannot reach. */
export interface CutOffView {
  readonly dataCentre: string;
  readonly reason: string;
}

/** State of a fleet, merged from the answers of its processes. */
export interface FleetStatus {
  readonly revisions: readonly RevisionView[];
  readonly processes: readonly ProcessView[];
  readonly groups: readonly GroupView[];
  readonly upstreams: readonly Announcement[];
  readonly cutOff: readonly CutOffView[];
}

/** Merges the answers of processes to the state of the fleet. */
export function buildFleetStatus(
  statuses: readonly TargetAnswer<ProcessStatus>[],
  directories: readonly DirectoryAnswer[],
): FleetStatus {
  const reports = statuses.flatMap((answer) => (answer.kind === 'answered' ? [answer.reply] : []));
  return {
    revisions: revisionViews(reports),
    processes: statuses.map(processView),
    groups: groupViews(reports),
    upstreams: latestAnnouncements(directories),
    cutOff: [...unreachableDataCentres(statuses), ...partitionedDataCentres(directories)],
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
  const statusesByGroup = new Map<string, GroupStatus[]>();
  for (const status of reports.flatMap((report) => report.groups)) {
    statusesByGroup.set(status.group, [...(statusesByGroup.get(status.group) ?? []), status]);
  }
  return [...statusesByGroup.keys()].sort().flatMap((group) => {
    const replicas = statusesByGroup.get(group) ?? [];
    const mostAuthoritative = replicas.reduce((left, right) =>
      authorityRank(right) > authorityRank(left) ? right : left,
    );
    const { term, commitIndex, leader, member } = mostAuthoritative;
    const voters = [...mostAuthoritative.voters].sort();
    const learners = [...mostAuthoritative.learners].sort();
    const view = { group, term, commitIndex, leader, voters, learners };
    return [{ ...view, seenBy: member, replicas: replicas.length }];
  });
}

/** Ranks replicas as sources of group state: a higher term first, then the leader of that term. */
function authorityRank(status: GroupStatus): number {
  return status.term * 2 + (status.role === 'leader' ? 1 : 0);
}

function unreachableDataCentres(
  statuses: readonly TargetAnswer<ProcessStatus>[],
): readonly CutOffView[] {
  const answersByDataCentre = new Map<string, boolean[]>();
  for (const answer of statuses) {
    const dataCentre =
      answer.kind === 'answered' ? answer.reply.dataCentre : answer.target.dataCentre;
    if (dataCentre === undefined) continue;
    const knownAnswers = answersByDataCentre.get(dataCentre) ?? [];
    answersByDataCentre.set(dataCentre, [...knownAnswers, answer.kind === 'answered']);
  }
  return [...answersByDataCentre]
    .filter(([, answers]) => !answers.includes(true))
    .map(([dataCentre, answers]) => ({
      dataCentre,
      reason: `no answer from its processes (${answers.length})`,
    }));
}

// An operator may reach entries on both sides of a network partition. A data centre counts as cut
// off if some entries know upstreams in it and others know none.
function partitionedDataCentres(directories: readonly DirectoryAnswer[]): readonly CutOffView[] {
  const directoryViews = directories.flatMap((answer) =>
    answer.kind === 'answered'
      ? [{ entry: answer.target.name, dataCentres: dataCentreNames(answer.reply) }]
      : [],
  );
  const allDataCentres = [
    ...new Set(directoryViews.flatMap((view) => [...view.dataCentres])),
  ].sort();
  return allDataCentres.flatMap((dataCentre) => {
    const viewsMissingIt = directoryViews.filter((view) => !view.dataCentres.has(dataCentre));
    if (viewsMissingIt.length === 0) return [];
    const names = viewsMissingIt.map((view) => view.entry).join(', ');
    return [{ dataCentre, reason: `entries that see none of its upstreams: ${names}` }];
  });
}

function dataCentreNames(announcements: readonly Announcement[]): ReadonlySet<string> {
  return new Set(announcements.map((announcement) => announcement.dataCentre));
}
