import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import { createDisposalStack } from '@burdockrail/common/disposalStack.js';
import type { AnnouncementBody } from '@burdockrail/membership/announcerState.js';
import type { AgentSettings } from '@burdockrail/settings/settingsSchema.js';
import { mergeHandlers } from '@burdockrail/transport/peerHandlers.js';
import { createModelUpstream } from './agentModelUpstream.js';
import { createPlainUpstream } from './agentPlainUpstream.js';
import type { AgentUpstreamFactory } from './agentUpstream.js';
import { createAttemptGate } from './attemptGate.js';
import { createAttemptService, type AttemptService } from './attemptService.js';
import { createAttemptUpstream } from './attemptUpstream.js';
import type { DaemonContext, DaemonRoleFactory } from './daemonRole.js';
import { createMembershipAnnouncer } from './membershipAnnouncer.js';
import { createUpstreamDeparture } from './upstreamDeparture.js';

const upstreamFactories: Readonly<Record<AgentSettings['upstream']['kind'], AgentUpstreamFactory>> =
  { model: createModelUpstream, plain: createPlainUpstream };

function agentSettings(context: DaemonContext): AgentSettings {
  const settings = context.settings.agent;
  if (settings === undefined) throw new ResultError(ResultCode.SettingsInvalid, 'agent: missing');
  return settings;
}

/** Creates the role `agent`. */
export const createAgentRole: DaemonRoleFactory = (context) => {
  const settings = agentSettings(context);
  const { identity } = context;
  const disposables = createDisposalStack();
  let state: AnnouncementBody['state'] = 'present';

  const createAnnouncementBody = (): AnnouncementBody => ({
    agent: identity.name,
    incarnation: identity.incarnation,
    dataCentre: context.settings.dataCentre,
    region: context.settings.region,
    address: context.advertised,
    service: settings.service,
    state,
    ...upstream.announcement,
    ready: isReady() && !attempts.isResting,
  });
  const gate = createAttemptGate();
  const announcer = disposables.use(createMembershipAnnouncer(context, createAnnouncementBody));
  const attemptUpstream = disposables.use(
    createAttemptUpstream(settings.upstream.url, context.settings.listen.host),
  );
  const upstream = disposables.use(
    upstreamFactories[settings.upstream.kind]({
      context,
      settings,
      attemptUpstream,
      onChanged: () => void announcer.announceNow(),
      gate,
    }),
  );
  const departure = disposables.use(
    createUpstreamDeparture({
      upstream: attemptUpstream,
      log: context.log,
      onChanged: () => void announcer.announceNow(),
    }),
  );
  const isReady = (): boolean => upstream.announcement.ready && !departure.isLeaving;
  const attempts: AttemptService = createAttemptService({
    upstream: attemptUpstream,
    gate,
    allowsDigest: upstream.allowsDigest,
    incarnation: identity.incarnation,
    service: settings.service,
    time: context.time,
    log: context.log,
    servedDigest: () => upstream.servedDigest,
    isReady,
    departure,
    upstreamRestarts: () => upstream.restarts,
    // The periodic announcement tells that the rest is over.
    onRestBegun: () => void announcer.announceNow(),
  });

  return {
    handlers: mergeHandlers([attempts.handlers, upstream.handlers]),
    start: async () => {
      await upstream.start();
      announcer.start();
    },
    drain: async () => {
      state = 'leaving';
      const attemptsDrained = attempts.drain();
      await Promise.all([announcer.announceNow(), attemptsDrained]);
    },
    groups: [],
    [Symbol.asyncDispose]: async () => disposables[Symbol.asyncDispose](),
  };
};
