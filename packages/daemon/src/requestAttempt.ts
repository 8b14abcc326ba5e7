import { randomUUID } from 'node:crypto';
import { ResultCode, type RunState } from '@burdockrail/common/resultCode.js';
import { ResultError, toResultError } from '@burdockrail/common/outcome.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { Address, PeerIdentity } from '@burdockrail/protocol/protocolAddress.js';
import type {
  AttemptHead,
  AttemptItem,
  AttemptStart,
} from '@burdockrail/protocol/protocolAttempt.js';
import type { PeerClient } from '@burdockrail/transport/peerClient.js';
import type { PeerConnection } from '@burdockrail/transport/peerConnection.js';
import type { AnswerSink } from './requestRelay.js';
import type { ConnectionWatch } from './requestLiveness.js';
import type { IdentifiedRequest } from './requestTypes.js';

/** Time in which an agent has to accept a connection, in milliseconds. */
const CONNECT_TIMEOUT_MILLISECONDS = 250;

/** Lowest HTTP status with which an upstream says that it failed itself. */
const SERVER_ERROR_STATUS = 500;

/** The whole answer went to the sink. */
export interface AttemptWhole {
  readonly kind: 'whole';
  readonly head: AttemptHead;
}

/** The attempt gave no whole answer. */
export interface AttemptFailure {
  readonly kind: 'failed';
  readonly code: ResultCode;
  /** What is known of the upstream having run the request. */
  readonly run: RunState;
  readonly detail: string;
  /** False when nothing of the request left this process. */
  readonly sent: boolean;
  /** The upstream died, or the connection to its agent was lost, while it ran the request. */
  readonly crash: 'none' | 'suspected' | 'certain';
}

export type AttemptOutcome = AttemptWhole | AttemptFailure;

/** One attempt of a request at one agent. */
export interface AttemptPlan {
  readonly attemptId: string;
  readonly address: Address;
  readonly start: AttemptStart;
  readonly signal?: AbortSignal;
  /** Takes an answer with a server error as a failed attempt instead of relaying it. */
  readonly failsOnServerError: boolean;
}

/** Runs attempts through agents. */
export interface AttemptRunner {
  /** Runs an attempt to its end; never rejects. */
  run(plan: AttemptPlan, sink: AnswerSink): Promise<AttemptOutcome>;
}

/** Parts that {@link createAttemptRunner} uses. */
export interface AttemptRunnerParts {
  readonly client: PeerClient;
  readonly watch: ConnectionWatch;
}

/** Headers of the caller that are of no use to the upstream. */
const droppedRequestHeaders: ReadonlySet<string> = new Set([
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'transfer-encoding',
  'upgrade',
]);

function failed(
  code: ResultCode,
  run: RunState,
  detail: string,
  crash: AttemptFailure['crash'] = 'none',
): AttemptFailure {
  return { kind: 'failed', code, run, detail, crash, sent: true };
}

function unsent(detail: string): AttemptFailure {
  return { ...failed(ResultCode.ConnectionLost, 'not-run', detail), sent: false };
}

/** The order to an agent for one attempt of a request. */
export function attemptStart(
  request: IdentifiedRequest,
  attemptId: string,
  now: Milliseconds,
  agentIncarnation?: string,
): AttemptStart {
  const kept = Object.entries(request.headers).filter(([name]) => !droppedRequestHeaders.has(name));
  return {
    attemptId,
    service: request.service.name,
    team: request.team.name,
    priority: request.priority,
    method: request.method,
    path: request.path,
    headers: Object.fromEntries(kept),
    body: request.body,
    timeoutMilliseconds: Math.max(1, Math.ceil(request.deadlineAt - now)),
    ...(agentIncarnation === undefined ? {} : { agentIncarnation }),
    ...(request.versionDigest === undefined ? {} : { versionDigest: request.versionDigest }),
  };
}

/** A new attempt id, unique over all processes. */
export function createAttemptId(): string {
  return randomUUID();
}

/** Waits until the agent has introduced itself; before that nothing of the request is sent. */
async function introduction(connection: PeerConnection): Promise<PeerIdentity | null> {
  let timer: NodeJS.Timeout | undefined;
  const late = new Promise<null>((resolve) => {
    timer = setTimeout(() => {
      resolve(null);
    }, CONNECT_TIMEOUT_MILLISECONDS);
  });
  const result = await Promise.race([connection.peer.catch(() => null), late]);
  clearTimeout(timer);
  return result;
}

/** Why an attempt is not sent at all; null when it may be sent. */
function reasonNotToSend(plan: AttemptPlan, peer: PeerIdentity | null): string | null {
  if (peer === null) return 'The agent cannot be reached.';
  const { agentIncarnation } = plan.start;
  const isOther = agentIncarnation !== undefined && agentIncarnation !== peer.incarnation;
  if (isOther) return 'The agent has been started anew.';
  return plan.signal?.aborted === true ? 'The caller has left.' : null;
}

/** Follows the items of one attempt and checks their order and their id. */
async function consume(
  plan: AttemptPlan,
  items: AsyncIterable<AttemptItem>,
  sink: AnswerSink,
): Promise<AttemptOutcome> {
  let head: AttemptHead | undefined;
  for await (const item of items) {
    if (item.attemptId !== plan.attemptId) throw new ResultError(ResultCode.AnswerMismatched);
    switch (item.kind) {
      case 'head':
        if (head !== undefined) throw new ResultError(ResultCode.AnswerMismatched);
        if (plan.failsOnServerError && item.status >= SERVER_ERROR_STATUS) {
          return failed(ResultCode.UpstreamFailed, 'unknown', `upstream status ${item.status}`);
        }
        if (isOtherVersion(plan, item)) throw new ResultError(ResultCode.AnswerMismatched);
        head = item;
        sink.head(item);
        break;
      case 'data':
        if (head === undefined) throw new ResultError(ResultCode.AnswerMismatched);
        await sink.data(item.bytes);
        break;
      case 'end':
        if (head === undefined) throw new ResultError(ResultCode.AnswerMismatched);
        sink.end();
        return { kind: 'whole', head };
      case 'failed':
        return failed(item.code, item.run, item.detail, item.upstreamCrashed ? 'certain' : 'none');
    }
  }
  return failed(ResultCode.AnswerIncomplete, 'unknown', 'The agent ended without a whole answer.');
}

function isOtherVersion(plan: AttemptPlan, head: AttemptHead): boolean {
  const { versionDigest } = plan.start;
  return versionDigest !== undefined && head.versionDigest !== versionDigest;
}

/** Failure that stands for what broke the stream of an attempt. */
function brokenStream(plan: AttemptPlan, error: unknown): AttemptFailure {
  const { code, message } = toResultError(error, ResultCode.InternalError);
  if (plan.signal?.aborted === true) return failed(code, 'unknown', message);
  if (code === ResultCode.UnknownMessage) return failed(code, 'not-run', message);
  if (code === ResultCode.CallTimedOut) {
    return failed(ResultCode.DeadlineExceeded, 'unknown', 'The deadline passed.');
  }
  const crash = code === ResultCode.ConnectionLost ? 'suspected' : 'none';
  return failed(code, 'unknown', message, crash);
}

/** Creates a runner. */
export function createAttemptRunner({ client, watch }: AttemptRunnerParts): AttemptRunner {
  return {
    run: async (plan, sink) => {
      const connection = client.connectionTo(plan.address);
      const reason = reasonNotToSend(plan, await introduction(connection));
      if (reason !== null) return unsent(reason);
      const release = watch.hold(connection);
      try {
        const items = connection.stream('attempt.run', plan.start, {
          timeoutMilliseconds: plan.start.timeoutMilliseconds,
          ...(plan.signal === undefined ? {} : { signal: plan.signal }),
        });
        return await consume(plan, items, sink);
      } catch (error) {
        const failure = brokenStream(plan, error);
        // An answer of another request on this connection means that its ids cannot be trusted.
        if (failure.code === ResultCode.AnswerMismatched) connection.destroy();
        return failure;
      } finally {
        release();
      }
    },
  };
}
