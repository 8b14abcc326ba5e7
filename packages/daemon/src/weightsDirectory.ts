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

/** Length of the digest prefix that identifies a version of the members, in characters. */
const VERSION_LENGTH = 16;

function membersVersion(announcements: readonly Announcement[]): string {
  const names = announcements.map(({ agent, incarnation }) => `${agent} ${incarnation}`);
  return digestOf(names.sort().join('\n')).slice(0, VERSION_LENGTH);
}

function groupByDataCentre(
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

/** Creates the handler that lists a rollout's members; full announcements would be too large. */
export function createRolloutMembersHandlers(
  directory: UpstreamDirectory,
  time: TimeSource,
): Partial<PeerHandlers> {
  const reply = (request: RolloutMembersRequest): RolloutMembersReply => {
    const services = new Set(request.services);
    const announcements = directory
      .all(time.now())
      .map((view) => view.announcement)
      .filter(({ service, state }) => services.has(service) && state === 'present');
    const version = membersVersion(announcements);
    if (version === request.known) return { version };
    return { version, groups: groupByDataCentre(announcements, request.digest) };
  };
  return { calls: { 'weights.members': async (request) => Promise.resolve(reply(request)) } };
}
