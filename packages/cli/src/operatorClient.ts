import { randomBytes } from 'node:crypto';
import { ResultError, toResultError } from '@burdockrail/common/outcome.js';
import { ResultCode, resultName } from '@burdockrail/common/resultCode.js';
import type { CallKind, PeerCalls } from '@burdockrail/protocol/protocolKinds.js';
import { createPeerClient } from '@burdockrail/transport/peerClient.js';
import type { OperatorTarget } from './operatorTarget.js';

/** Bytes of randomness in the incarnation of a command. */
const INCARNATION_BYTES = 8;

/** Time for a call that a process answers from what it has at hand, in milliseconds. */
const LOCAL_TIMEOUT_MILLISECONDS = 3_000;

/**
 * Time for a call that needs a quorum, in milliseconds; longer than a control process itself waits,
 * so that its numbered answer arrives.
 */
export const QUORUM_TIMEOUT_MILLISECONDS = 7_000;

/** Kinds of calls that need a quorum. */
const quorumCalls: ReadonlySet<CallKind> = new Set([
  'configuration.apply',
  'configuration.current',
  'cluster.form',
]);

/** Answer of one process to a question that was put to several. */
export type TargetAnswer<Reply> =
  | { readonly kind: 'answered'; readonly target: OperatorTarget; readonly reply: Reply }
  | { readonly kind: 'failed'; readonly target: OperatorTarget; readonly error: ResultError };

/** Calls of the command line to processes of the fleet. */
export interface OperatorClient extends AsyncDisposable {
  call<Kind extends CallKind>(
    target: OperatorTarget,
    kind: Kind,
    request: PeerCalls[Kind]['request'],
    timeoutMilliseconds?: number,
  ): Promise<PeerCalls[Kind]['reply']>;
  /** First answer of any target, asked at the same time; rejects when none answers. */
  callAny<Kind extends CallKind>(
    targets: readonly OperatorTarget[],
    kind: Kind,
    request: PeerCalls[Kind]['request'],
  ): Promise<PeerCalls[Kind]['reply']>;
  /** Answers of all targets, asked at the same time. */
  callAll<Kind extends CallKind>(
    targets: readonly OperatorTarget[],
    kind: Kind,
    request: PeerCalls[Kind]['request'],
  ): Promise<readonly TargetAnswer<PeerCalls[Kind]['reply']>[]>;
}

/** Creates a client. */
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
    const usual = quorumCalls.has(kind) ? QUORUM_TIMEOUT_MILLISECONDS : LOCAL_TIMEOUT_MILLISECONDS;
    const options = { timeoutMilliseconds: timeoutMilliseconds ?? usual };
    return peers.connectionTo(target.address).call(kind, request, options);
  };
  const ask = async <Kind extends CallKind>(
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
      const answers = targets.map(async (target) => ask(target, kind, request));
      const replies = answers.map(async (pending) => {
        const answer = await pending;
        if (answer.kind === 'failed') throw answer.error;
        return { reply: answer.reply };
      });
      const first = await Promise.any(replies).catch(() => undefined);
      if (first === undefined) throw allFailed(await Promise.all(answers));
      return first.reply;
    },
    callAll: async (targets, kind, request) =>
      Promise.all(targets.map(async (target) => ask(target, kind, request))),
    [Symbol.asyncDispose]: async () => peers[Symbol.asyncDispose](),
  };
}

/** Text of a failure of one target. */
export function describeFailure(target: OperatorTarget, error: ResultError): string {
  return `${target.name}: ${error.code} ${resultName(error.code)}: ${error.message}`;
}

/** Failure of a question that no target answered. */
export function allFailed(answers: readonly TargetAnswer<unknown>[]): ResultError {
  const failures = answers.flatMap((answer) =>
    answer.kind === 'failed' ? [describeFailure(answer.target, answer.error)] : [],
  );
  return new ResultError(ResultCode.ProcessesUnreachable, failures.join('; '));
}
