import { randomBytes } from 'node:crypto';
import { ResultError, toResultError } from '@burdockrail/common/outcome.js';
import { ResultCode, resultName } from '@burdockrail/common/resultCode.js';
import type { CallKind, PeerCalls } from '@burdockrail/protocol/protocolKinds.js';
import { createPeerClient } from '@burdockrail/transport/peerClient.js';
import type { OperatorTarget } from './operatorTarget.js';

/** Number of random bytes in the incarnation of a command. */
const INCARNATION_BYTES = 8;

/** Timeout of a call that a process answers from its local state. */
const LOCAL_CALL_TIMEOUT_MILLISECONDS = 3_000;

/**
 * Timeout of a call that needs a quorum; longer than the timeout of the control process itself, so
 * that its result code arrives before this timeout expires.
 */
export const QUORUM_CALL_TIMEOUT_MILLISECONDS = 7_000;

/** Kinds of calls that need a quorum. */
const quorumCallKinds: ReadonlySet<CallKind> = new Set([
  'configuration.apply',
  'configuration.current',
  'cluster.form',
]);

/** Answer, or failure, of one of several processes that were called. */
export type TargetAnswer<Reply> =
  | { readonly kind: 'answered'; readonly target: OperatorTarget; readonly reply: Reply }
  | { readonly kind: 'failed'; readonly target: OperatorTarget; readonly error: ResultError };

/** Client for calls to processes of the fleet. */
export interface OperatorClient extends AsyncDisposable {
  call<Kind extends CallKind>(
    target: OperatorTarget,
    kind: Kind,
    request: PeerCalls[Kind]['request'],
    timeoutMilliseconds?: number,
  ): Promise<PeerCalls[Kind]['reply']>;
  /** Calls all targets concurrently and returns the first answer; rejects if none answers. */
  callAny<Kind extends CallKind>(
    targets: readonly OperatorTarget[],
    kind: Kind,
    request: PeerCalls[Kind]['request'],
  ): Promise<PeerCalls[Kind]['reply']>;
  /** Calls all targets concurrently and returns all answers and failures. */
  callAll<Kind extends CallKind>(
    targets: readonly OperatorTarget[],
    kind: Kind,
    request: PeerCalls[Kind]['request'],
  ): Promise<readonly TargetAnswer<PeerCalls[Kind]['reply']>[]>;
}

export function createOperatorClient(): OperatorClient {
  const peers = createPeerClient({
    identity: {
      name: 'operator',
      incarnation: randomBytes(INCARNATION_BYTES).toString('hex'),
      dataCentre: '',
      roles: [],
    },
  });
  const call: OperatorClient['call'] = async (target, kind, request, timeoutMilliseconds) => {
    const defaultTimeoutMilliseconds = quorumCallKinds.has(kind)
      ? QUORUM_CALL_TIMEOUT_MILLISECONDS
      : LOCAL_CALL_TIMEOUT_MILLISECONDS;
    const options = { timeoutMilliseconds: timeoutMilliseconds ?? defaultTimeoutMilliseconds };
    return peers.connectionTo(target.address).call(kind, request, options);
  };
  const tryCall = async <Kind extends CallKind>(
    target: OperatorTarget,
    kind: Kind,
    request: PeerCalls[Kind]['request'],
  ): Promise<TargetAnswer<PeerCalls[Kind]['reply']>> => {
    try {
      return { kind: 'answered', target, reply: await call(target, kind, request) };
    } catch (error) {
      return { kind: 'failed', target, error: toResultError(error, ResultCode.ConnectionLost) };
    }
  };
  return {
    call,
    callAny: async (targets, kind, request) => {
      const answers = targets.map(async (target) => tryCall(target, kind, request));
      const replies = answers.map(async (pending) => {
        const answer = await pending;
        if (answer.kind === 'failed') throw answer.error;
        return { reply: answer.reply };
      });
      const first = await Promise.any(replies).catch(() => undefined);
      if (first === undefined) throw createUnreachableError(await Promise.all(answers));
      return first.reply;
    },
    callAll: async (targets, kind, request) =>
      Promise.all(targets.map(async (target) => tryCall(target, kind, request))),
    [Symbol.asyncDispose]: async () => peers[Symbol.asyncDispose](),
  };
}

/** Formats the failure of one target. */
export function describeFailure(target: OperatorTarget, error: ResultError): string {
  return `${target.name}: ${error.code} ${resultName(error.code)}: ${error.message}`;
}

/** Creates the error for a call that no target answered. */
export function createUnreachableError(answers: readonly TargetAnswer<unknown>[]): ResultError {
  const failures = answers.flatMap((answer) =>
    answer.kind === 'failed' ? [describeFailure(answer.target, answer.error)] : [],
  );
  return new ResultError(ResultCode.ProcessesUnreachable, failures.join('; '));
}
