import { setTimeout as delay } from 'node:timers/promises';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import type { Digest } from '@burdockrail/common/digest.js';
import { chooseRegistrars } from '@burdockrail/membership/registrarChoice.js';
import type { PeerCalls } from '@burdockrail/protocol/protocolKinds.js';
import type { Announcement } from '@burdockrail/protocol/protocolMembership.js';
import type {
  RolloutMembersReply,
  RolloutMembersRequest,
} from '@burdockrail/protocol/protocolWeights.js';
import {
  createLayout,
  type RolloutLayout,
  type RolloutMember,
} from '@burdockrail/rollout/rolloutLayout.js';
import type { DaemonContext } from './daemonRole.js';
import type { VersionTarget } from './weightsTarget.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Bound on the question to one entry, in milliseconds. */
const LIST_TIMEOUT_MILLISECONDS = 1_000;

/** Asks the entries that this agent announces itself to, one after the other. */
async function askRegistrars<Kind extends 'membership.list' | 'weights.members'>(
  context: DaemonContext,
  kind: Kind,
  request: PeerCalls[Kind]['request'],
): Promise<PeerCalls[Kind]['reply']> {
  const { name, dataCentre, peers } = context.settings;
  const entries = peers.filter((peer) => peer.roles.includes('entry'));
  const registrars = chooseRegistrars(name, dataCentre, entries, new Set());
  const timeout = { timeoutMilliseconds: LIST_TIMEOUT_MILLISECONDS };
  for (const registrar of registrars) {
    try {
      return await context.client.connectionTo(registrar.address).call(kind, request, timeout);
    } catch {
      // The second registrar knows the same agents.
    }
  }
  throw new ResultError(ResultCode.ConnectionLost, 'no registrar answers');
}

/** All agents present with all that they announce; rejects when no registrar answers. */
export async function presentAgents(context: DaemonContext): Promise<readonly Announcement[]> {
  return askRegistrars(context, 'membership.list', {});
}

/** Present agents of services; rejects when no registrar answers. */
export async function presentMembers(
  context: DaemonContext,
  request: RolloutMembersRequest,
): Promise<RolloutMembersReply> {
  return askRegistrars(context, 'weights.members', request);
}

/** Gives the agents of a reply; none when the reply carries no members. */
export function membersOf(reply: RolloutMembersReply): readonly RolloutMember[] {
  return (reply.groups ?? []).flatMap(({ dataCentre, region, agents }) =>
    agents.map(([agent, host, port, isComplete]) => ({
      agent,
      address: { host, port },
      dataCentre,
      region,
      isComplete,
    })),
  );
}

/** Services whose weights or adapters are a version, under the configuration in force. */
function servicesOf(context: DaemonContext, target: VersionTarget): readonly string[] {
  const services = context.configuration.current?.fleet.services ?? [];
  const matches = (version: { readonly model: string; readonly version: string }): boolean =>
    version.model === target.model && version.version === target.version;
  const wanted = services.filter((service) =>
    [...(service.weights === undefined ? [] : [service.weights]), ...service.adapters].some(
      matches,
    ),
  );
  return wanted.map(({ name }) => name);
}

/** Time after the start of a process in which the membership may still be filling, in milliseconds. */
const SETTLING_MILLISECONDS = 3_000;

/** Time between two looks at a membership that may still be filling, in milliseconds. */
const SETTLING_INTERVAL_MILLISECONDS = 400;

/** Members of one rollout, as the membership goes on. */
export interface RolloutMembers {
  /** The layout now; null when it is as it was at the last question. */
  current(signal: AbortSignal): Promise<RolloutLayout | null>;
  /**
   * Layout to begin with.
   *
   * @remarks
   * An agent that knows too few members reads chunks from the origin that are the duty of others.
   * Just after its start it waits until two looks at the membership agree.
   */
  first(signal: AbortSignal): Promise<RolloutLayout>;
}

/**
 * Creates the members of the rollout of a version.
 *
 * @remarks
 * They follow from the configuration and the membership alone, so that all agents begin with the
 * same members without waiting for each other's progress.
 */
export function createRolloutMembers(
  context: DaemonContext,
  target: VersionTarget,
  digest: Digest,
): RolloutMembers {
  const { settings, identity, advertised } = context;
  const self: RolloutMember = {
    agent: identity.name,
    address: advertised,
    dataCentre: settings.dataCentre,
    region: settings.region,
    isComplete: false,
  };
  let known: string | null = null;

  const current = async (signal: AbortSignal): Promise<RolloutLayout | null> => {
    signal.throwIfAborted();
    const services = servicesOf(context, target);
    const reply = await presentMembers(context, { services, digest, known });
    const isSame = known === reply.version;
    known = reply.version;
    return isSame ? null : createLayout(self, membersOf(reply));
  };

  return {
    current,
    first: async (signal) => {
      let layout = (await current(signal)) ?? createLayout(self, []);
      while (process.uptime() * MILLISECONDS_PER_SECOND < SETTLING_MILLISECONDS) {
        await delay(SETTLING_INTERVAL_MILLISECONDS, undefined, { signal });
        const next = await current(signal);
        if (next === null && layout.members.length > 1) return layout;
        layout = next ?? layout;
      }
      return layout;
    },
  };
}
