import {
  createAnnouncer,
  type AnnouncementBody,
  type AnnouncerMessage,
} from '@burdockrail/membership/announcerState.js';
import { ANNOUNCEMENT_INTERVAL_MILLISECONDS } from '@burdockrail/membership/membershipTiming.js';
import type {
  Announcement,
  LoadUpdate,
  AnnouncementRenewal,
} from '@burdockrail/protocol/protocolMembership.js';
import type { PeerSettings } from '@burdockrail/settings/settingsSchema.js';
import type { PeerConnection } from '@burdockrail/transport/peerConnection.js';
import type { DaemonContext } from './daemonRole.js';

/** Announces an agent to its registrars until it is disposed of. */
export interface MembershipAnnouncer extends AsyncDisposable {
  start(): void;
  /** Announces the current state now; resolves when each registrar has answered or failed. */
  announceNow(): Promise<void>;
}

/** Creates the announcer of this process's agent; `describe` returns its current state. */
export function createMembershipAnnouncer(
  context: DaemonContext,
  describe: () => AnnouncementBody,
): MembershipAnnouncer {
  const { settings, time } = context;
  const entries = settings.peers.filter((peer) => peer.roles.includes('entry'));
  const announcer = createAnnouncer(settings.name, settings.dataCentre, entries);
  const callOptions = { timeoutMilliseconds: ANNOUNCEMENT_INTERVAL_MILLISECONDS };
  let timer: NodeJS.Timeout | undefined;

  const findEntry = (name: string): PeerSettings | undefined =>
    entries.find((entry) => entry.name === name);

  const sendAnnouncement = async (
    connection: PeerConnection,
    registrar: string,
    announcement: Announcement,
  ): Promise<void> => {
    await connection.call('membership.announce', announcement, callOptions);
    announcer.recordAcknowledgement(registrar, announcement.sequence);
  };

  const sendLoad = async (
    connection: PeerConnection,
    registrar: string,
    update: LoadUpdate,
  ): Promise<void> => {
    const { known } = await connection.call('membership.load', update, callOptions);
    if (known) announcer.recordAcknowledgement(registrar, update.sequence);
    else announcer.recordFailure(registrar, 'unknown', time.now());
  };

  const sendRenewal = async (
    connection: PeerConnection,
    registrar: string,
    renewal: AnnouncementRenewal,
  ): Promise<void> => {
    const { known } = await connection.call('membership.renew', renewal, callOptions);
    if (!known) announcer.recordFailure(registrar, 'unknown', time.now());
  };

  const deliver = async (message: AnnouncerMessage, entry: PeerSettings): Promise<void> => {
    const connection = context.client.connectionTo(entry.address);
    switch (message.kind) {
      case 'announce':
        return sendAnnouncement(connection, entry.name, message.announcement);
      case 'load':
        return sendLoad(connection, entry.name, message.update);
      case 'renew':
        return sendRenewal(connection, entry.name, message.renewal);
    }
  };

  const send = async (message: AnnouncerMessage): Promise<void> => {
    const entry = findEntry(message.registrar);
    if (entry === undefined) return;
    try {
      await deliver(message, entry);
    } catch {
      announcer.recordFailure(entry.name, 'unreachable', time.now());
    }
  };

  const announceNow = async (): Promise<void> => {
    await Promise.all(announcer.messages(describe(), time.now()).map(send));
  };

  return {
    announceNow,
    start: () => {
      timer = setInterval(() => {
        void announceNow();
      }, ANNOUNCEMENT_INTERVAL_MILLISECONDS);
      void announceNow();
    },
    [Symbol.asyncDispose]: async () => {
      clearInterval(timer);
      return Promise.resolve();
    },
  };
}
