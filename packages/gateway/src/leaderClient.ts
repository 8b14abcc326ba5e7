import { setTimeout as pause } from 'node:timers/promises';
import { failure, success, type Outcome } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { leaderSlot } from '@burdockrail/daemon/groupInspection.js';
import type {
  RouteCommand,
  RouteRegisterState,
  RouteResult,
} from '@burdockrail/fleet/routeRegister.js';
import type { GroupReply } from '@burdockrail/protocol/protocolAgreement.js';
import { parseAddress } from './controlAddresses.js';
import { ROUTE_GROUP, type ControlGroup } from './controlGroup.js';
import type { GatewayContext } from './gatewayContext.js';

/** Timeout of an operation, in milliseconds: operators try another process after a second. */
const OPERATION_TIMEOUT_MILLISECONDS = 850;

/** Timeout of one attempt, in milliseconds; leaves time for a new leader if the old one died. */
const ATTEMPT_TIMEOUT_MILLISECONDS = 450;

/** Delay before the leader is determined again, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 40;

/** Proposes commands and reads quorum-confirmed state through the current leader of the group. */
export interface LeaderClient {
  propose(command: RouteCommand): Promise<Outcome<RouteResult>>;
  read(): Promise<Outcome<RouteRegisterState>>;
}

/**
 * Creates a client for the leader of the control group.
 *
 * @remarks
 * A command with an unknown outcome is proposed again, which is safe because the commands are
 * idempotent. A failure means only that no definite answer came in time.
 */
export function createLeaderClient(context: GatewayContext, group: ControlGroup): LeaderClient {
  const { client, time } = context;
  const { host } = group;

  const runLocally = async (
    operation: Promise<Outcome<unknown>>,
    remainingMilliseconds: number,
  ): Promise<GroupReply> => {
    const expiry = pause(remainingMilliseconds, failure(ResultCode.QuorumUnreachable), {
      ref: false,
    });
    const outcome = await Promise.race([operation, expiry]);
    if (outcome.kind === 'success') return { kind: 'result', value: outcome.value };
    if (outcome.code === ResultCode.QuorumUnreachable) return { kind: 'unknown' };
    return { kind: 'refused', code: outcome.code, leader: leaderSlot(host) };
  };

  const runWithRetries = async (
    runOnOwnReplica: () => Promise<Outcome<unknown>>,
    runOnLeader: (leader: string, timeoutMilliseconds: number) => Promise<GroupReply>,
  ): Promise<Outcome<unknown>> => {
    const deadline = time.now() + OPERATION_TIMEOUT_MILLISECONDS;
    let lastCode: ResultCode = ResultCode.QuorumUnreachable;
    for (
      let remainingMilliseconds = OPERATION_TIMEOUT_MILLISECONDS;
      remainingMilliseconds > 0;
      remainingMilliseconds = deadline - time.now()
    ) {
      const leader = leaderSlot(host);
      const isLeader = host.replica.role === 'leader';
      if (isLeader || leader !== null) {
        const timeoutMilliseconds = Math.min(remainingMilliseconds, ATTEMPT_TIMEOUT_MILLISECONDS);
        const reply = isLeader
          ? await runLocally(runOnOwnReplica(), timeoutMilliseconds)
          : await runOnLeader(leader ?? '', timeoutMilliseconds).catch((): GroupReply => ({
              kind: 'unknown',
            }));
        if (reply.kind === 'result') return success(reply.value);
        if (reply.kind === 'refused') lastCode = reply.code;
      }
      await pause(Math.min(RETRY_DELAY_MILLISECONDS, Math.max(0, deadline - time.now())));
    }
    return failure(lastCode);
  };

  return {
    propose: async (command) => {
      const outcome = await runWithRetries(
        async () => host.propose(command),
        async (leader, timeoutMilliseconds) =>
          client
            .connectionTo(parseAddress(leader))
            .call('group.propose', { group: ROUTE_GROUP, command }, { timeoutMilliseconds }),
      );
      return outcome.kind === 'success' ? success(outcome.value as RouteResult) : outcome;
    },
    read: async () => {
      const outcome = await runWithRetries(
        async () => host.query(null),
        async (leader, timeoutMilliseconds) =>
          client
            .connectionTo(parseAddress(leader))
            .call('group.query', { group: ROUTE_GROUP, query: null }, { timeoutMilliseconds }),
      );
      return outcome.kind === 'success' ? success(outcome.value as RouteRegisterState) : outcome;
    },
  };
}
