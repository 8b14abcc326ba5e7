import { setTimeout } from 'node:timers/promises';
import { ResultError, toResultError } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { GroupReply } from '@burdockrail/protocol/protocolAgreement.js';
import type { PeerConnection } from '@burdockrail/transport/peerConnection.js';
import type { DaemonContext } from './daemonRole.js';
import { FLEET_GROUP } from './groupName.js';
import { groupSlots, type GroupSlot } from './groupSlots.js';

export { FLEET_GROUP, ledgerGroup } from './groupName.js';

/** Timeout for connecting to a process, including its handshake, in milliseconds. */
const CONNECT_TIMEOUT_MILLISECONDS = 500;

/** Timeout of one request to one replica, in milliseconds. */
const ATTEMPT_TIMEOUT_MILLISECONDS = 1_500;

/** Delay before the leader is looked up again, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 50;

/** Client of quorum groups for any process; finds the leader of a group by itself. */
export interface GroupClient {
  /**
   * Proposes a command and resolves with the result of applying it to the group's state.
   *
   * @remarks
   * A command whose outcome is unknown is proposed again, so applying a command must be idempotent
   * and return the same result each time.
   *
   * @throws {@link ResultError} with `QuorumUnreachable` if the outcome is unknown at the timeout, and
   * with `LedgerUnreachable`, `NotLeader` or `GroupNotFormed` if the command was certainly not
   * proposed.
   */
  propose(group: string, command: unknown, timeoutMilliseconds: number): Promise<unknown>;
  /** Answers a query from the leader's state, confirmed by its lease or a quorum. */
  query(group: string, query: unknown, timeoutMilliseconds: number): Promise<unknown>;
}

/** Result of sending a request to one replica. */
type AttemptResult = GroupReply | { readonly kind: 'unreachable' };

type SendRequest = (connection: PeerConnection, timeoutMilliseconds: number) => Promise<GroupReply>;

async function withTimeout<Value>(
  operation: Promise<Value>,
  timeoutMilliseconds: number,
): Promise<Value | null> {
  const timerAbort = new AbortController();
  const { signal } = timerAbort;
  const expiry = setTimeout(timeoutMilliseconds, null, { signal, ref: false }).catch(() => null);
  try {
    return await Promise.race([operation, expiry]);
  } finally {
    timerAbort.abort();
  }
}

/** Sends a request to one replica; `unreachable` means that the request was never sent. */
async function sendToReplica(
  connection: PeerConnection,
  send: SendRequest,
  remainingMilliseconds: Milliseconds,
): Promise<AttemptResult> {
  try {
    const peer = await withTimeout(
      connection.peer,
      Math.min(remainingMilliseconds, CONNECT_TIMEOUT_MILLISECONDS),
    );
    if (peer === null) return { kind: 'unreachable' };
  } catch {
    return { kind: 'unreachable' };
  }
  try {
    return await send(connection, Math.min(remainingMilliseconds, ATTEMPT_TIMEOUT_MILLISECONDS));
  } catch (error) {
    const { code } = toResultError(error, ResultCode.ConnectionLost);
    const isRefusal = code === ResultCode.UnknownMessage;
    return isRefusal ? { kind: 'refused', code, leader: null } : { kind: 'unknown' };
  }
}

/** Creates a client of all groups that follow from the settings. */
export function createGroupClient(context: DaemonContext): GroupClient {
  const leaders = new Map<string, string>();
  const { client, settings, time } = context;

  const requestLeader = async (
    group: string,
    slot: GroupSlot,
    remainingMilliseconds: Milliseconds,
  ): Promise<string> => {
    const callOptions = {
      timeoutMilliseconds: Math.min(remainingMilliseconds, CONNECT_TIMEOUT_MILLISECONDS),
    };
    const { leader } = await client
      .connectionTo(slot.address)
      .call('group.inspect', { group }, callOptions);
    if (leader === null) throw new ResultError(ResultCode.NotLeader, group);
    return leader;
  };

  /** Asks all slots in parallel, so that one that hangs does not delay the lookup. */
  const findLeader = async (
    group: string,
    remainingMilliseconds: Milliseconds,
  ): Promise<GroupSlot | undefined> => {
    const slots = groupSlots(settings, group);
    const knownLeader = leaders.get(group);
    const name =
      knownLeader ??
      (await Promise.any(
        slots.map(async (slot) => requestLeader(group, slot, remainingMilliseconds)),
      ).catch(() => undefined));
    if (name !== undefined) leaders.set(group, name);
    return slots.find((slot) => slot.name === name);
  };

  const createTimeoutError = (
    group: string,
    lastRejection: ResultCode | null,
    isOutcomeUnknown: boolean,
  ): ResultError => {
    if (isOutcomeUnknown) return new ResultError(ResultCode.QuorumUnreachable, group);
    if (lastRejection === ResultCode.GroupNotFormed) return new ResultError(lastRejection, group);
    const isFleet = group === FLEET_GROUP;
    return new ResultError(isFleet ? ResultCode.NotLeader : ResultCode.LedgerUnreachable, group);
  };

  const sendToLeader = async (
    group: string,
    timeoutMilliseconds: number,
    send: SendRequest,
  ): Promise<unknown> => {
    const deadline = time.now() + timeoutMilliseconds;
    let lastRejection: ResultCode | null = null;
    let isOutcomeUnknown = false;
    for (
      let remainingMilliseconds = timeoutMilliseconds;
      remainingMilliseconds > 0;
      remainingMilliseconds = deadline - time.now()
    ) {
      const slot = await findLeader(group, remainingMilliseconds);
      if (slot !== undefined) {
        const reply = await sendToReplica(
          client.connectionTo(slot.address),
          send,
          remainingMilliseconds,
        );
        if (reply.kind === 'result') return reply.value;
        leaders.delete(group);
        if (reply.kind === 'unknown') isOutcomeUnknown = true;
        if (reply.kind === 'refused') lastRejection = reply.code;
      }
      await setTimeout(Math.min(RETRY_DELAY_MILLISECONDS, Math.max(0, deadline - time.now())));
    }
    throw createTimeoutError(group, lastRejection, isOutcomeUnknown);
  };

  return {
    propose: async (group, command, timeoutMilliseconds) =>
      sendToLeader(group, timeoutMilliseconds, async (connection, remainingMilliseconds) =>
        connection.call(
          'group.propose',
          { group, command },
          { timeoutMilliseconds: remainingMilliseconds },
        ),
      ),
    query: async (group, query, timeoutMilliseconds) =>
      sendToLeader(group, timeoutMilliseconds, async (connection, remainingMilliseconds) =>
        connection.call(
          'group.query',
          { group, query },
          { timeoutMilliseconds: remainingMilliseconds },
        ),
      ),
  };
}
