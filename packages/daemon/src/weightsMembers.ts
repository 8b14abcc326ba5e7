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

/** Timeout of a call to one registrar, in milliseconds. */
const REGISTRAR_TIMEOUT_MILLISECONDS = 1_000;

/** Calls the registrars of this agent one after the other until one answers. */
async function callRegistrars<Kind extends 'membership.list' | 'weights.members'>(
  context: DaemonContext,
  kind: Kind,
  request: PeerCalls[Kind]['request'],
): Promise<PeerCalls[Kind]['reply']> {
  const { name, dataCentre, peers } = context.settings;
  const entries = peers.filter((peer) => peer.roles.includes('entry'));
  const registrars = chooseRegistrars(name, dataCentre, entries, new Set());
  const timeout = { timeoutMilliseconds: REGISTRAR_TIMEOUT_MILLISECONDS };
  for (const registrar of registrars) {
    try {
      return await context.client.connectionTo(registrar.address).call(kind, request, timeout);
    } catch {
      // The next registrar knows the same agents.
    }
  }
  throw new ResultError(ResultCode.ConnectionLost, 'no registrar answers');
}

/** Fetches the announcements of all present agents; rejects if no registrar answers. */
export async function fetchPresentAgents(context: DaemonContext): Promise<readonly Announcement[]> {
  return callRegistrars(context, 'membership.list', {});
}

/** Fetches the present agents of services; rejects if no registrar answers. */
export async function fetchPresentMembers(
  context: DaemonContext,
  request: RolloutMembersRequest,
): Promise<RolloutMembersReply> {
  return callRegistrars(context, 'weights.members', request);
}

/** Rollout members in a reply; empty if the members are unchanged. */
export function membersInReply(reply: RolloutMembersReply): readonly RolloutMember[] {
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

/** Services that use a version as weights or adapter, under the configuration in force. */
function servicesUsing(context: DaemonContext, target: VersionTarget): readonly string[] {
  const services = context.configuration.current?.fleet.services ?? [];
  const matches = (version: { readonly model: string; readonly version: string }): boolean =>
    version.model === target.model && version.version === target.version;
  const matchingServices = services.filter((service) =>
    [...(service.weights === undefined ? [] : [service.weights]), ...service.adapters].some(
      matches,
    ),
  );
  return matchingServices.map(({ name }) => name);
}

/** Time after the process start in which the membership may be incomplete, in milliseconds. */
const SETTLING_PERIOD_MILLISECONDS = 3_000;

/** Polling interval of a membership that may be incomplete, in milliseconds. */
const SETTLING_INTERVAL_MILLISECONDS = 400;

/** Members of one rollout, derived from the current membership. */
export interface RolloutMembers {
  /** Fetches the layout; null if it has not changed since the last call. */
  fetchLayoutChange(signal: AbortSignal): Promise<RolloutLayout | null>;
  /**
   * Fetches the layout with which the rollout starts.
   *
   * @remarks
   * An agent that knows too few members reads chunks from the origin that others are responsible
   * for. Shortly after the process has started, it polls the membership until it stays unchanged.
   */
  fetchInitialLayout(signal: AbortSignal): Promise<RolloutLayout>;
}

/**
 * Creates the members of the rollout of a version.
 *
 * @remarks
 * The members depend only on the configuration and the membership, so all agents start with the
 * same members without waiting for each other.
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
  let knownVersion: string | null = null;

  const fetchLayoutChange = async (signal: AbortSignal): Promise<RolloutLayout | null> => {
    signal.throwIfAborted();
    const services = servicesUsing(context, target);
    const reply = await fetchPresentMembers(context, { services, digest, known: knownVersion });
    const isSame = knownVersion === reply.version;
    knownVersion = reply.version;
    return isSame ? null : createLayout(self, membersInReply(reply));
  };

  return {
    fetchLayoutChange,
    fetchInitialLayout: async (signal) => {
      let layout = (await fetchLayoutChange(signal)) ?? createLayout(self, []);
      while (process.uptime() * MILLISECONDS_PER_SECOND < SETTLING_PERIOD_MILLISECONDS) {
        await delay(SETTLING_INTERVAL_MILLISECONDS, undefined, { signal });
        const next = await fetchLayoutChange(signal);
        if (next === null && layout.members.length > 1) return layout;
        layout = next ?? layout;
      }
      return layout;
    },
  };
}
