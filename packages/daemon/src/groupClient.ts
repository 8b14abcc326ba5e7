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

/** Time given to a process to introduce itself, in milliseconds. */
const CONNECT_MILLISECONDS = 500;

/** Longest wait for the answer of one replica, in milliseconds. */
const ATTEMPT_MILLISECONDS = 1_500;

/** Pause before the leader is looked for again, in milliseconds. */
const PAUSE_MILLISECONDS = 50;

/** Calls to a quorum group from any process; finds the leader by itself. */
export interface GroupClient {
  /**
   * Proposes a command and resolves with the result that the group's state gave when the command
   * was committed.
   *
   * @remarks
   * A command whose outcome is unknown is proposed again, so the state must give a command that
   * it has carried out the same result once more. Rejects with `QuorumUnreachable` when the outcome is not known in time, and with
   * `LedgerUnreachable`, `NotLeader` or `GroupNotFormed` when the command was surely not proposed.
   */
  propose(group: string, command: unknown, timeoutMilliseconds: number): Promise<unknown>;
  /** Answers a query from the leader's state, confirmed by its lease or a quorum. */
  query(group: string, query: unknown, timeoutMilliseconds: number): Promise<unknown>;
}

/** What one replica made of a request. */
type Attempt = GroupReply | { readonly kind: 'unreachable' };

type Send = (connection: PeerConnection, timeoutMilliseconds: number) => Promise<GroupReply>;

async function within<Value>(work: Promise<Value>, milliseconds: number): Promise<Value | null> {
  const timer = new AbortController();
  const { signal } = timer;
  const expiry = setTimeout(milliseconds, null, { signal, ref: false }).catch(() => null);
  try {
    return await Promise.race([work, expiry]);
  } finally {
    timer.abort();
  }
}

/** Sends a request to one replica; what happened before the peer answered once is harmless. */
async function attemptAt(
  connection: PeerConnection,
  send: Send,
  left: Milliseconds,
): Promise<Attempt> {
  try {
    const peer = await within(connection.peer, Math.min(left, CONNECT_MILLISECONDS));
    if (peer === null) return { kind: 'unreachable' };
  } catch {
    return { kind: 'unreachable' };
  }
  try {
    return await send(connection, Math.min(left, ATTEMPT_MILLISECONDS));
  } catch (error) {
    const { code } = toResultError(error, ResultCode.ConnectionLost);
    const isRefusal = code === ResultCode.UnknownMessage;
    return isRefusal ? { kind: 'refused', code, leader: null } : { kind: 'unknown' };
  }
}

/** Creates a client of all groups that the settings name. */
export function createGroupClient(context: DaemonContext): GroupClient {
  const leaders = new Map<string, string>();
  const { client, settings, time } = context;

  const leaderAccordingTo = async (
    group: string,
    slot: GroupSlot,
    left: Milliseconds,
  ): Promise<string> => {
    const bound = { timeoutMilliseconds: Math.min(left, CONNECT_MILLISECONDS) };
    const { leader } = await client
      .connectionTo(slot.address)
      .call('group.inspect', { group }, bound);
    if (leader === null) throw new ResultError(ResultCode.NotLeader, group);
    return leader;
  };

  /** Asks all slots at once, so that one which hangs does not hold up the others. */
  const locate = async (group: string, left: Milliseconds): Promise<GroupSlot | undefined> => {
    const slots = groupSlots(settings, group);
    const known = leaders.get(group);
    const name =
      known ??
      (await Promise.any(slots.map(async (slot) => leaderAccordingTo(group, slot, left))).catch(
        () => undefined,
      ));
    if (name !== undefined) leaders.set(group, name);
    return slots.find((slot) => slot.name === name);
  };

  const timedOut = (group: string, last: ResultCode | null, unknown: boolean): ResultError => {
    if (unknown) return new ResultError(ResultCode.QuorumUnreachable, group);
    if (last === ResultCode.GroupNotFormed) return new ResultError(last, group);
    const isFleet = group === FLEET_GROUP;
    return new ResultError(isFleet ? ResultCode.NotLeader : ResultCode.LedgerUnreachable, group);
  };

  const run = async (group: string, timeoutMilliseconds: number, send: Send): Promise<unknown> => {
    const deadline = time.now() + timeoutMilliseconds;
    let last: ResultCode | null = null;
    let unknown = false;
    for (let left = timeoutMilliseconds; left > 0; left = deadline - time.now()) {
      const slot = await locate(group, left);
      if (slot !== undefined) {
        const reply = await attemptAt(client.connectionTo(slot.address), send, left);
        if (reply.kind === 'result') return reply.value;
        leaders.delete(group);
        if (reply.kind === 'unknown') unknown = true;
        if (reply.kind === 'refused') last = reply.code;
      }
      await setTimeout(Math.min(PAUSE_MILLISECONDS, Math.max(0, deadline - time.now())));
    }
    throw timedOut(group, last, unknown);
  };

  return {
    propose: async (group, command, timeoutMilliseconds) =>
      run(group, timeoutMilliseconds, async (connection, left) =>
        connection.call('group.propose', { group, command }, { timeoutMilliseconds: left }),
      ),
    query: async (group, query, timeoutMilliseconds) =>
      run(group, timeoutMilliseconds, async (connection, left) =>
        connection.call('group.query', { group, query }, { timeoutMilliseconds: left }),
      ),
  };
}
