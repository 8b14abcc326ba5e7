import { setTimeout as delay } from 'node:timers/promises';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import type { Digest } from '@burdockrail/common/digest.js';
import { chooseRegistrars } from '@burdockrail/membership/registrarChoice.js';
import type { Announcement } from '@burdockrail/protocol/protocolMembership.js';
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

/** Agents present, as the entries of the data centre know them; rejects when none answers. */
export async function presentAgents(context: DaemonContext): Promise<readonly Announcement[]> {
  const { name, dataCentre, peers } = context.settings;
  const entries = peers.filter((peer) => peer.roles.includes('entry'));
  const registrars = chooseRegistrars(name, dataCentre, entries, new Set());
  const timeout = { timeoutMilliseconds: LIST_TIMEOUT_MILLISECONDS };
  for (const registrar of registrars) {
    try {
      return await context.client.to(registrar.address).call('membership.list', {}, timeout);
    } catch {
      // The second registrar knows the same agents.
    }
  }
  throw new ResultError(ResultCode.ConnectionLost, 'no registrar answers');
}

/** Services whose weights or adapters are a version, under the configuration in force. */
function servicesOf(context: DaemonContext, target: VersionTarget): ReadonlySet<string> {
  const services = context.configuration.current?.fleet.services ?? [];
  const matches = (version: { readonly model: string; readonly version: string }): boolean =>
    version.model === target.model && version.version === target.version;
  const wanted = services.filter((service) =>
    [...(service.weights === undefined ? [] : [service.weights]), ...service.adapters].some(
      matches,
    ),
  );
  return new Set(wanted.map(({ name }) => name));
}

/**
 * Gives the other members of a rollout.
 *
 * @remarks
 * They follow from the configuration and the membership alone, so that all agents begin with the
 * same members without waiting for each other's progress.
 */
export function rolloutMembers(
  context: DaemonContext,
  target: VersionTarget,
  digest: Digest,
  present: readonly Announcement[],
): readonly RolloutMember[] {
  const services = servicesOf(context, target);
  return present
    .filter(({ agent, state }) => agent !== context.identity.name && state === 'present')
    .filter(({ service }) => services.has(service))
    .map(({ agent, address, dataCentre, region, serving }) => ({
      agent,
      address,
      dataCentre,
      region,
      isComplete: serving?.digest === digest,
    }));
}

/** Time after the start of a process in which the membership may still be filling, in milliseconds. */
const SETTLING_MILLISECONDS = 3_000;

/** Time between two looks at a membership that may still be filling, in milliseconds. */
const SETTLING_INTERVAL_MILLISECONDS = 400;

/** Layout of a rollout as the membership is now. */
export async function currentLayout(
  context: DaemonContext,
  target: VersionTarget,
  digest: Digest,
  signal: AbortSignal,
): Promise<RolloutLayout> {
  signal.throwIfAborted();
  const { settings, identity, advertised } = context;
  const self: RolloutMember = {
    agent: identity.name,
    address: advertised,
    dataCentre: settings.dataCentre,
    region: settings.region,
    isComplete: false,
  };
  const present = await presentAgents(context);
  return createLayout(self, rolloutMembers(context, target, digest, present));
}

function namesOf(layout: RolloutLayout): string {
  return layout.members.map(({ agent }) => agent).join(' ');
}

/**
 * Layout of a rollout that begins.
 *
 * @remarks
 * An agent that knows too few members reads chunks from the origin that are the duty of others.
 * Just after its start it waits until two looks at the membership agree.
 */
export async function firstLayout(
  context: DaemonContext,
  target: VersionTarget,
  digest: Digest,
  signal: AbortSignal,
): Promise<RolloutLayout> {
  let layout = await currentLayout(context, target, digest, signal);
  while (process.uptime() * MILLISECONDS_PER_SECOND < SETTLING_MILLISECONDS) {
    await delay(SETTLING_INTERVAL_MILLISECONDS, undefined, { signal });
    const next = await currentLayout(context, target, digest, signal);
    if (namesOf(next) === namesOf(layout) && next.members.length > 1) return next;
    layout = next;
  }
  return layout;
}
