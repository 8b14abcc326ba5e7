import { setTimeout } from 'node:timers/promises';
import { rendezvousOrder } from '@burdockrail/common/rendezvousHash.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import {
  createQuarantineState,
  type ContentStatus,
  type RequestTraits,
} from '@burdockrail/limits/quarantineState.js';
import { createSuspectGrants } from '@burdockrail/limits/suspectGrants.js';
import type {
  QuarantineAdmit,
  QuarantineAdmitReply,
  QuarantineReport,
} from '@burdockrail/protocol/protocolQuarantine.js';
import type { PeerSettings } from '@burdockrail/settings/settingsSchema.js';
import type { PeerHandlers } from '@burdockrail/transport/peerHandlers.js';
import type { DaemonContext } from './daemonRole.js';
import type { RequestFilter } from './requestFilter.js';
import { refusal, initialRunState, type IdentifiedRequest } from './requestTypes.js';

/** Time that other entries have to confirm a crash report, in milliseconds. */
const REPORT_TIMEOUT_MILLISECONDS = 150;

/** Timeout of a request to the owner of a service's suspected contents, in milliseconds. */
const ADMIT_TIMEOUT_MILLISECONDS = 300;

/** Delay before the owner is asked again after it was busy, in milliseconds. */
const BUSY_RETRY_INTERVAL_MILLISECONDS = 40;

/** Longest wait for a grant to run a suspected content, in milliseconds. */
const MAXIMUM_GRANT_WAIT_MILLISECONDS = 2_000;

const MILLISECONDS_PER_SECOND = 1_000;

/** Keeps requests that crash upstreams away from them, in cooperation with the other entries. */
export interface Quarantine {
  readonly handlers: Partial<PeerHandlers>;
  statusOf(traits: RequestTraits): ContentStatus;
  /** Asks the owner for a grant to run a suspected content; retries for a bounded time if busy. */
  admit(service: string, run: QuarantineAdmit): Promise<QuarantineAdmitReply>;
  /** Ends a granted run. */
  release(service: string, content: string): void;
  /** Reports a crash to all entries; resolves when the reachable ones have confirmed it. */
  report(report: QuarantineReport): Promise<void>;
  /** Records that a request ran to completion; notifies all entries if a trait was suspected. */
  recordCompletion(traits: RequestTraits): void;
}

/** Converts a duration to whole seconds for a retry header; at least 1. */
export function toRetryAfterSeconds(milliseconds: number): number {
  return Math.max(1, Math.ceil(milliseconds / MILLISECONDS_PER_SECOND));
}

/** Creates the quarantine of one entry. */
export function createQuarantine(context: DaemonContext): Quarantine {
  const { client, time, settings, identity } = context;
  const quarantineState = createQuarantineState();
  const grants = createSuspectGrants();
  const entries = settings.peers.filter((peer) => peer.roles.includes('entry'));
  const otherPeers = entries.filter((peer) => peer.name !== identity.name);

  const decideLocally = (run: QuarantineAdmit): QuarantineAdmitReply => {
    const now = time.now();
    const status = quarantineState.statusOf({ content: run.content, parts: [] }, now);
    if (status.kind === 'quarantined') {
      return { kind: 'quarantined', retryAfterMilliseconds: status.until - now };
    }
    return { kind: grants.tryGrant(run, now) ? 'granted' : 'busy' };
  };

  /** Returns the entries by precedence as owner of a service's suspected contents. */
  const ownersOf = (service: string): readonly PeerSettings[] =>
    rendezvousOrder(service, entries, (peer) => peer.name);

  const askOwner = async (
    owner: PeerSettings,
    run: QuarantineAdmit,
  ): Promise<QuarantineAdmitReply> => {
    if (owner.name === identity.name) return decideLocally(run);
    const callOptions = { timeoutMilliseconds: ADMIT_TIMEOUT_MILLISECONDS };
    return client.connectionTo(owner.address).call('quarantine.admit', run, callOptions);
  };

  /** Asks the owners in order until one answers; decides locally if none does. */
  const askFirstReachableOwner = async (
    service: string,
    run: QuarantineAdmit,
  ): Promise<QuarantineAdmitReply> => {
    for (const owner of ownersOf(service)) {
      const reply = await askOwner(owner, run).catch(() => null);
      if (reply !== null) return reply;
    }
    return decideLocally(run);
  };

  const notifySound = (traits: readonly string[]): void => {
    if (traits.length === 0) return;
    for (const { address } of otherPeers) client.notify(address, 'quarantine.clear', { traits });
  };

  return {
    handlers: {
      calls: {
        'quarantine.admit': async (run) => Promise.resolve(decideLocally(run)),
        'quarantine.release': async ({ content }) => {
          grants.release(content);
          return Promise.resolve({});
        },
        'quarantine.report': async (report) => {
          const { soundTraits } = quarantineState.recordCrash(report, time.now());
          // The entry that reported the crash may not know that these prefixes are sound. A content
          // is cleared by its next granted run instead.
          notifySound(soundTraits.filter((trait) => report.parts.includes(trait)));
          return Promise.resolve({});
        },
      },
      notifications: {
        'quarantine.clear': ({ traits }) => {
          quarantineState.recordSound(traits, time.now());
        },
      },
    },
    statusOf: (traits) => quarantineState.statusOf(traits, time.now()),
    admit: async (service, run) => {
      const waitUntil =
        time.now() + Math.min(MAXIMUM_GRANT_WAIT_MILLISECONDS, run.timeoutMilliseconds);
      for (;;) {
        const reply = await askFirstReachableOwner(service, run);
        if (reply.kind !== 'busy' || time.now() >= waitUntil) return reply;
        await setTimeout(BUSY_RETRY_INTERVAL_MILLISECONDS);
      }
    },
    release: (service, content) => {
      grants.release(content);
      const callOptions = { timeoutMilliseconds: ADMIT_TIMEOUT_MILLISECONDS };
      for (const owner of ownersOf(service).filter((peer) => peer.name !== identity.name)) {
        const call = client
          .connectionTo(owner.address)
          .call('quarantine.release', { content }, callOptions);
        call.catch(() => undefined);
      }
    },
    report: async (report) => {
      quarantineState.recordCrash(report, time.now());
      context.log.write('requestCrashedUpstream', { ...report, parts: report.parts.join(',') });
      const callOptions = { timeoutMilliseconds: REPORT_TIMEOUT_MILLISECONDS };
      await Promise.all(
        otherPeers.map(async ({ address }) =>
          client
            .connectionTo(address)
            .call('quarantine.report', report, callOptions)
            .catch(() => undefined),
        ),
      );
    },
    recordCompletion: (traits) => {
      notifySound(quarantineState.recordCompletion(traits, time.now()));
    },
  };
}

/** Creates the filter that refuses quarantined contents. */
export function createQuarantineFilter(
  quarantine: Quarantine,
  now: () => number,
): RequestFilter<IdentifiedRequest, IdentifiedRequest> {
  return async (request, next) => {
    const status = quarantine.statusOf(request.traits);
    if (status.kind !== 'quarantined') return next(request);
    // A keyed request runs at most once, so it cannot crash one upstream after another.
    if (status.isContent && request.idempotencyKey !== undefined) return next(request);
    const retryAfterSeconds = toRetryAfterSeconds(status.until - now());
    return refusal(ResultCode.Quarantined, initialRunState(request), { retryAfterSeconds });
  };
}
