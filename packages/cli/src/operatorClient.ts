import { randomBytes } from 'node:crypto';
import { ResultError, toResultError } from '@burdockrail/common/outcome.js';
import { ResultCode, resultName } from '@burdockrail/common/resultCode.js';
import type { CallKind, PeerCalls } from '@burdockrail/protocol/protocolKinds.js';
import { createPeerClient } from '@burdockrail/transport/peerClient.js';
import type { OperatorTarget } from './operatorTarget.js';

/** Bytes of randomness in the incarnation of a command. */
const INCARNATION_BYTES = 8;

/** Time for one call to one process, in milliseconds. */
export const CALL_TIMEOUT_MILLISECONDS = 3_000;

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
    const options = { timeoutMilliseconds: timeoutMilliseconds ?? CALL_TIMEOUT_MILLISECONDS };
    return peers.to(target.address).call(kind, request, options);
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
