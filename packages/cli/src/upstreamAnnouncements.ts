import { compareStrings } from '@burdockrail/common/strings.js';
import type { Announcement } from '@burdockrail/protocol/protocolMembership.js';
import {
  createUnreachableError,
  type OperatorClient,
  type TargetAnswer,
} from './operatorClient.js';
import type { OperatorTarget } from './operatorTarget.js';

/** Upstreams known to one entry, or the failure of that entry to answer. */
export type DirectoryAnswer = TargetAnswer<readonly Announcement[]>;

/** Reads the membership directories of entries; rejects if no entry answers. */
export async function readDirectories(
  client: OperatorClient,
  entries: readonly OperatorTarget[],
): Promise<readonly DirectoryAnswer[]> {
  const answers = await client.callAll(entries, 'membership.list', {});
  if (answers.every((answer) => answer.kind === 'failed')) throw createUnreachableError(answers);
  return answers;
}

/** Returns the latest announcement of each agent over all answers, sorted by agent name. */
export function latestAnnouncements(answers: readonly DirectoryAnswer[]): readonly Announcement[] {
  const latestByAgent = new Map<string, Announcement>();
  for (const answer of answers) {
    if (answer.kind === 'failed') continue;
    for (const announcement of answer.reply) {
      const previous = latestByAgent.get(announcement.agent);
      if (previous === undefined || previous.sequence < announcement.sequence) {
        latestByAgent.set(announcement.agent, announcement);
      }
    }
  }
  return [...latestByAgent.values()].sort((left, right) => compareStrings(left.agent, right.agent));
}

/** Creates call targets from the announcements of agents. */
export function agentTargets(announcements: readonly Announcement[]): readonly OperatorTarget[] {
  return announcements.map(({ agent, dataCentre, address }) => ({
    name: agent,
    dataCentre,
    address,
  }));
}
