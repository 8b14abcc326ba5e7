import { digestOf } from '@burdockrail/common/digest.js';
import type { TimeSource } from '@burdockrail/common/timeSource.js';
import type { UpstreamDirectory } from '@burdockrail/membership/upstreamDirectory.js';
import type { Announcement } from '@burdockrail/protocol/protocolMembership.js';
import type {
  RolloutMembersOfDataCentre,
  RolloutMembersReply,
  RolloutMembersRequest,
} from '@burdockrail/protocol/protocolWeights.js';
import type { PeerHandlers } from '@burdockrail/transport/peerHandlers.js';

/** Characters of a digest that tell two versions of the members apart. */
const VERSION_CHARACTERS = 16;

function versionOf(announcements: readonly Announcement[]): string {
  const names = announcements.map(({ agent, incarnation }) => `${agent} ${incarnation}`);
  return digestOf(names.sort().join('\n')).slice(0, VERSION_CHARACTERS);
}

function groupsOf(
  announcements: readonly Announcement[],
  digest: string,
): readonly RolloutMembersOfDataCentre[] {
  const groups = new Map<string, RolloutMembersOfDataCentre>();
  for (const { agent, address, dataCentre, region, serving } of announcements) {
    const group = groups.get(dataCentre) ?? { dataCentre, region, agents: [] };
    const member = [agent, address.host, address.port, serving?.digest === digest] as const;
    groups.set(dataCentre, { ...group, agents: [...group.agents, member] });
  }
  return [...groups.values()];
}

/** Answers agents that ask who takes part in a rollout; whole announcements would be too large. */
export function createWeightsDirectory(
  directory: UpstreamDirectory,
  time: TimeSource,
): Partial<PeerHandlers> {
  const reply = (request: RolloutMembersRequest): RolloutMembersReply => {
    const services = new Set(request.services);
    const announcements = directory
      .all(time.now())
      .map((view) => view.announcement)
      .filter(({ service, state }) => services.has(service) && state === 'present');
    const version = versionOf(announcements);
    if (version === request.known) return { version };
    return { version, groups: groupsOf(announcements, request.digest) };
  };
  return { calls: { 'weights.members': async (request) => Promise.resolve(reply(request)) } };
}
