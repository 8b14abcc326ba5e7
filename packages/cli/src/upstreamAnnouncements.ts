import { compareStrings } from '@burdockrail/common/strings.js';
import type { Announcement } from '@burdockrail/protocol/protocolMembership.js';
import { allFailed, type OperatorClient, type TargetAnswer } from './operatorClient.js';
import type { OperatorTarget } from './operatorTarget.js';

/** What one entry knows of the upstreams. */
export type DirectoryAnswer = TargetAnswer<readonly Announcement[]>;

/** Asks entries for the upstreams that they know; rejects when none answers. */
export async function readDirectories(
  client: OperatorClient,
  entries: readonly OperatorTarget[],
): Promise<readonly DirectoryAnswer[]> {
  const answers = await client.callAll(entries, 'membership.list', {});
  if (answers.every((answer) => answer.kind === 'failed')) throw allFailed(answers);
  return answers;
}

/** The latest announcement of each agent over all answers, in order of the agents' names. */
export function latestAnnouncements(answers: readonly DirectoryAnswer[]): readonly Announcement[] {
  const latest = new Map<string, Announcement>();
  for (const answer of answers) {
    if (answer.kind === 'failed') continue;
    for (const announcement of answer.reply) {
      const known = latest.get(announcement.agent);
      if (known === undefined || known.sequence < announcement.sequence) {
        latest.set(announcement.agent, announcement);
      }
    }
  }
  return [...latest.values()].sort((left, right) => compareStrings(left.agent, right.agent));
}

/** The agents of announcements as targets of calls. */
export function agentTargets(announcements: readonly Announcement[]): readonly OperatorTarget[] {
  return announcements.map(({ agent, dataCentre, address }) => ({
    name: agent,
    dataCentre,
    address,
  }));
}
