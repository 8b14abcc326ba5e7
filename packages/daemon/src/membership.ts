import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import {
  announcementIssue,
  loadUpdateIssue,
  withoutOddAnnouncements,
} from '@burdockrail/membership/announcementCheck.js';
import { createDirectory } from '@burdockrail/membership/directoryState.js';
import { REGISTRAR_HEARTBEAT_MILLISECONDS } from '@burdockrail/membership/membershipTiming.js';
import { createRegistrar } from '@burdockrail/membership/registrarState.js';
import type { UpstreamDirectory } from '@burdockrail/membership/upstreamDirectory.js';
import type { Announcement, DirectoryUpdate } from '@burdockrail/protocol/protocolMembership.js';
import type { PeerSettings } from '@burdockrail/settings/settingsSchema.js';
import type { PeerConnection } from '@burdockrail/transport/peerConnection.js';
import type { PeerHandlers } from '@burdockrail/transport/peerHandlers.js';
import { createController } from './controller.js';
import type { DaemonContext } from './daemonRole.js';

/** Interval between checks of leases, in milliseconds. */
const TICK_INTERVAL_MILLISECONDS = 100;

/** Timeout of one update to another entry, in milliseconds. */
const UPDATE_TIMEOUT_MILLISECONDS = 1_000;

/** Membership at an entry: its own registrar and the directory merged from all registrars. */
export interface Membership extends AsyncDisposable {
  readonly directory: UpstreamDirectory;
  readonly handlers: Partial<PeerHandlers>;
  start(): void;
}

type MembershipMessage =
  | { readonly kind: 'tick' }
  | {
      readonly kind: 'acknowledged';
      readonly entry: string;
      readonly counter: number;
      readonly connection: PeerConnection;
    }
  | { readonly kind: 'unreachable'; readonly entry: string };

/** Replication state of this registrar's updates to one other entry. */
interface Recipient {
  readonly acknowledgedCounter: number;
  /** Connection of the last acknowledgement; after a reconnect the peer may have lost its state. */
  readonly connection: PeerConnection | null;
  readonly isUpdatePending: boolean;
  readonly lastSentAt: Milliseconds;
}

type Recipients = ReadonlyMap<string, Recipient>;

const newRecipient: Recipient = {
  acknowledgedCounter: 0,
  connection: null,
  isUpdatePending: false,
  lastSentAt: Number.NEGATIVE_INFINITY,
};

function otherEntries(context: DaemonContext): readonly PeerSettings[] {
  const { peers, name } = context.settings;
  return peers.filter((peer) => peer.roles.includes('entry') && peer.name !== name);
}

/** Creates the membership of an entry. */
export function createMembership(context: DaemonContext): Membership {
  const { time, identity } = context;
  const directory = createDirectory();
  const registrar = createRegistrar({ name: identity.name, incarnation: identity.incarnation });
  const entries = otherEntries(context);

  const applyOwnUpdate = (now: Milliseconds): void => {
    const known = directory.knownCounter(identity.name, identity.incarnation);
    directory.applyUpdate(registrar.updateSince(known), now);
  };

  const sendUpdate = async (
    entry: PeerSettings,
    connection: PeerConnection,
    update: DirectoryUpdate,
  ): Promise<void> => {
    try {
      const reply = await connection.call('membership.update', update, {
        timeoutMilliseconds: UPDATE_TIMEOUT_MILLISECONDS,
      });
      const { counter } = reply;
      controller.send({ kind: 'acknowledged', entry: entry.name, counter, connection });
    } catch {
      controller.send({ kind: 'unreachable', entry: entry.name });
    }
  };

  const notifyEntry = (entry: PeerSettings, recipient: Recipient, now: Milliseconds): Recipient => {
    const connection = context.client.connectionTo(entry.address);
    const isSameConnection = recipient.connection === connection;
    if (isSameConnection && recipient.acknowledgedCounter === registrar.counter) {
      if (now - recipient.lastSentAt < REGISTRAR_HEARTBEAT_MILLISECONDS) return recipient;
      connection.notify('membership.beat', { counter: registrar.counter });
      return { ...recipient, lastSentAt: now };
    }
    void sendUpdate(
      entry,
      connection,
      registrar.updateSince(isSameConnection ? recipient.acknowledgedCounter : 0),
    );
    return { ...recipient, isUpdatePending: true, lastSentAt: now };
  };

  const notifyEntries = (recipients: Recipients, now: Milliseconds): Recipients => {
    const next = new Map(recipients);
    for (const entry of entries) {
      const recipient = recipients.get(entry.name) ?? newRecipient;
      if (!recipient.isUpdatePending) next.set(entry.name, notifyEntry(entry, recipient, now));
    }
    return next;
  };

  const recordReply = (
    recipients: Recipients,
    entry: string,
    acknowledgedCounter: number,
    connection: PeerConnection | null,
  ): Recipients => {
    const recipient = recipients.get(entry) ?? newRecipient;
    return new Map(recipients).set(entry, {
      ...recipient,
      isUpdatePending: false,
      acknowledgedCounter,
      connection,
    });
  };

  const step = (recipients: Recipients, message: MembershipMessage): Recipients => {
    const now = time.now();
    switch (message.kind) {
      case 'tick':
        registrar.tick(now);
        applyOwnUpdate(now);
        return notifyEntries(recipients, now);
      case 'acknowledged':
        return notifyEntries(
          recordReply(recipients, message.entry, message.counter, message.connection),
          now,
        );
      case 'unreachable':
        return recordReply(recipients, message.entry, 0, null);
    }
  };

  const controller = createController<Recipients, MembershipMessage>(
    context.actors,
    'membership',
    new Map(),
    step,
    context.log,
  );

  const onAnnouncementChange = (urgent: boolean): void => {
    applyOwnUpdate(time.now());
    if (urgent) controller.send({ kind: 'tick' });
  };

  /** @throws {@link ResultError} with `BadRequest` if a message of an agent has an issue. */
  const refuseOdd = (from: string, reason: string | null): void => {
    if (reason === null) return;
    context.log.write('announcementIgnored', { from, reason });
    throw new ResultError(ResultCode.BadRequest, reason);
  };

  const listAnnouncements = (): readonly Announcement[] =>
    directory.all(time.now()).map((view) => view.announcement);

  let timer: NodeJS.Timeout | undefined;
  return {
    directory,
    handlers: {
      calls: {
        'membership.announce': async (announcement, { peer }) => {
          refuseOdd(peer.name, announcementIssue(announcement));
          onAnnouncementChange(registrar.announce(announcement, time.now()));
          const revision = context.configuration.current?.committed.revision ?? 0;
          return Promise.resolve({ revision });
        },
        'membership.load': async (update, { peer }) => {
          const agentUpdate = { ...update, agent: peer.name };
          refuseOdd(peer.name, loadUpdateIssue(agentUpdate));
          const known = registrar.load(agentUpdate, peer.incarnation, time.now());
          return Promise.resolve({ known });
        },
        'membership.renew': async ({ sequence }, { peer }) => {
          const announcementId = { agent: peer.name, incarnation: peer.incarnation, sequence };
          return Promise.resolve({ known: registrar.renew(announcementId, time.now()) });
        },
        'membership.update': async (update, { peer }) => {
          const usable = withoutOddAnnouncements(update, (reason) => {
            context.log.write('announcementIgnored', { from: peer.name, reason });
          });
          return Promise.resolve({ counter: directory.applyUpdate(usable, time.now()) });
        },
        'membership.list': async () => Promise.resolve(listAnnouncements()),
      },
      notifications: {
        'membership.beat': ({ counter }, { peer }) => {
          directory.applyHeartbeat(peer.name, peer.incarnation, counter, time.now());
        },
      },
    },
    start: () => {
      timer = setInterval(() => {
        controller.send({ kind: 'tick' });
      }, TICK_INTERVAL_MILLISECONDS);
      controller.send({ kind: 'tick' });
    },
    [Symbol.asyncDispose]: async () => {
      clearInterval(timer);
      controller.stop();
      return Promise.resolve();
    },
  };
}
