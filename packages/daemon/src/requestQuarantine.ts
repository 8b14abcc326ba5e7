import { setTimeout } from 'node:timers/promises';
import { rendezvousOrder } from '@burdockrail/common/rendezvousHash.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { createQuarantineState, type ContentStatus } from '@burdockrail/limits/quarantineState.js';
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
import { refused, runBeforeSending, type IdentifiedRequest } from './requestTypes.js';

/** Time given to other entries to take a report before the crash is told, in milliseconds. */
const REPORT_TIMEOUT_MILLISECONDS = 150;

/** Bound on one question to the owner of suspects, in milliseconds. */
const ADMIT_TIMEOUT_MILLISECONDS = 300;

/** Time between two questions to the owner, in milliseconds. */
const BUSY_PAUSE_MILLISECONDS = 40;

/** Longest wait for a grant, in milliseconds. */
const LONGEST_WAIT_MILLISECONDS = 2_000;

const MILLISECONDS_PER_SECOND = 1_000;

/** How one entry keeps requests that crash upstreams away from them, together with all others. */
export interface Quarantine {
  readonly handlers: Partial<PeerHandlers>;
  standing(content: string): ContentStatus;
  /** Asks the owner of suspects, and waits a bounded time while another run is in the way. */
  admit(service: string, run: QuarantineAdmit): Promise<QuarantineAdmitReply>;
  /** Ends a granted run. */
  release(service: string, content: string): void;
  /** Tells all entries of a crash; resolves when those that can be reached know. */
  report(report: QuarantineReport): Promise<void>;
  /** Tells all entries that a suspect content ran to its end. */
  clear(content: string): void;
}

/** Whole seconds until a standing ends. */
export function secondsUntil(milliseconds: number): number {
  return Math.max(1, Math.ceil(milliseconds / MILLISECONDS_PER_SECOND));
}

/** Creates the quarantine of one entry. */
export function createQuarantine(context: DaemonContext): Quarantine {
  const { client, time, settings, identity } = context;
  const state = createQuarantineState();
  const grants = createSuspectGrants();
  const entries = settings.peers.filter((peer) => peer.roles.includes('entry'));
  const others = entries.filter((peer) => peer.name !== identity.name);

  const decide = (run: QuarantineAdmit): QuarantineAdmitReply => {
    const now = time.now();
    const standing = state.statusOf(run.content, now);
    if (standing.kind === 'quarantined') {
      return { kind: 'quarantined', retryAfterMilliseconds: standing.until - now };
    }
    return { kind: grants.tryGrant(run, now) ? 'granted' : 'busy' };
  };

  /** Entries in the order in which they own the suspects of a service. */
  const owners = (service: string): readonly PeerSettings[] =>
    rendezvousOrder(service, entries, (peer) => peer.name);

  const ask = async (owner: PeerSettings, run: QuarantineAdmit): Promise<QuarantineAdmitReply> => {
    if (owner.name === identity.name) return decide(run);
    const bound = { timeoutMilliseconds: ADMIT_TIMEOUT_MILLISECONDS };
    return client.connectionTo(owner.address).call('quarantine.admit', run, bound);
  };

  /** Asks the first owner that answers. */
  const askOwners = async (
    service: string,
    run: QuarantineAdmit,
  ): Promise<QuarantineAdmitReply> => {
    for (const owner of owners(service)) {
      const reply = await ask(owner, run).catch(() => null);
      if (reply !== null) return reply;
    }
    return decide(run);
  };

  return {
    handlers: {
      calls: {
        'quarantine.admit': async (run) => Promise.resolve(decide(run)),
        'quarantine.release': async ({ content }) => {
          grants.release(content);
          return Promise.resolve({});
        },
        'quarantine.report': async (report) => {
          state.recordCrash(report, time.now());
          return Promise.resolve({});
        },
      },
      notifications: {
        'quarantine.clear': ({ content }) => {
          state.recordCompletion(content);
        },
      },
    },
    standing: (content) => state.statusOf(content, time.now()),
    admit: async (service, run) => {
      const giveUpAt = time.now() + Math.min(LONGEST_WAIT_MILLISECONDS, run.timeoutMilliseconds);
      for (;;) {
        const reply = await askOwners(service, run);
        if (reply.kind !== 'busy' || time.now() >= giveUpAt) return reply;
        await setTimeout(BUSY_PAUSE_MILLISECONDS);
      }
    },
    release: (service, content) => {
      grants.release(content);
      const bound = { timeoutMilliseconds: ADMIT_TIMEOUT_MILLISECONDS };
      for (const owner of owners(service).filter((peer) => peer.name !== identity.name)) {
        const call = client
          .connectionTo(owner.address)
          .call('quarantine.release', { content }, bound);
        call.catch(() => undefined);
      }
    },
    report: async (report) => {
      state.recordCrash(report, time.now());
      context.log.write('requestCrashedUpstream', { ...report });
      const bound = { timeoutMilliseconds: REPORT_TIMEOUT_MILLISECONDS };
      await Promise.all(
        others.map(async ({ address }) =>
          client
            .connectionTo(address)
            .call('quarantine.report', report, bound)
            .catch(() => undefined),
        ),
      );
    },
    clear: (content) => {
      state.recordCompletion(content);
      for (const { address } of others) client.notify(address, 'quarantine.clear', { content });
    },
  };
}

/** Creates the filter that answers a quarantined content at once. */
export function createQuarantineFilter(
  quarantine: Quarantine,
  now: () => number,
): RequestFilter<IdentifiedRequest, IdentifiedRequest> {
  return async (request, next) => {
    const standing = quarantine.standing(request.contentDigest);
    // A keyed request runs at most once by itself, so it cannot go from upstream to upstream.
    const isExempt = request.idempotencyKey !== undefined;
    if (standing.kind !== 'quarantined' || isExempt) return next(request);
    const retryAfterSeconds = secondsUntil(standing.until - now());
    return refused(ResultCode.Quarantined, runBeforeSending(request), { retryAfterSeconds });
  };
}
