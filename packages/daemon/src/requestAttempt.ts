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
import type { ConnectionMonitor } from './requestLiveness.js';
import type { IdentifiedRequest } from './requestTypes.js';

/** Timeout of connecting to an agent, in milliseconds. */
const CONNECT_TIMEOUT_MILLISECONDS = 250;

/** Lowest HTTP status of a server error. */
const SERVER_ERROR_STATUS = 500;

/** An attempt whose complete answer was passed to the sink. */
export interface CompleteAttempt {
  readonly kind: 'whole';
  readonly head: AttemptHead;
}

/** An attempt that gave no complete answer. */
export interface AttemptFailure {
  readonly kind: 'failed';
  readonly code: ResultCode;
  /** Whether the upstream ran the request, as far as known. */
  readonly run: RunState;
  readonly detail: string;
  /** False if no part of the request left this process. */
  readonly sent: boolean;
  /**
   * `certain` if the upstream crashed while it ran the request, `suspected` if the connection to
   * its agent was lost.
   */
  readonly crash: 'none' | 'suspected' | 'certain';
}

export type AttemptOutcome = CompleteAttempt | AttemptFailure;

/** Parameters of one attempt of a request at one agent. */
export interface AttemptParameters {
  readonly attemptId: string;
  readonly address: Address;
  readonly start: AttemptStart;
  readonly signal?: AbortSignal;
  /** Treats an answer with a server error as a failed attempt instead of relaying it. */
  readonly failsOnServerError: boolean;
}

/** Runs attempts through agents. */
export interface AttemptRunner {
  /** Runs an attempt to completion; never rejects. */
  run(parameters: AttemptParameters, sink: AnswerSink): Promise<AttemptOutcome>;
}

/** Options of {@link createAttemptRunner}. */
export interface AttemptRunnerOptions {
  readonly client: PeerClient;
  readonly connectionMonitor: ConnectionMonitor;
}

/** Headers of the caller that apply to its own connection and are not forwarded. */
const hopByHopHeaders: ReadonlySet<string> = new Set([
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'transfer-encoding',
  'upgrade',
]);

function createFailure(
  code: ResultCode,
  run: RunState,
  detail: string,
  crash: AttemptFailure['crash'] = 'none',
): AttemptFailure {
  return { kind: 'failed', code, run, detail, crash, sent: true };
}

function createUnsentFailure(detail: string): AttemptFailure {
  return { ...createFailure(ResultCode.ConnectionLost, 'not-run', detail), sent: false };
}

/** Creates the message that starts one attempt of a request at an agent. */
export function createAttemptStart(
  request: IdentifiedRequest,
  attemptId: string,
  now: Milliseconds,
  agentIncarnation?: string,
): AttemptStart {
  const forwarded = Object.entries(request.headers).filter(([name]) => !hopByHopHeaders.has(name));
  return {
    attemptId,
    service: request.service.name,
    team: request.team.name,
    priority: request.priority,
    method: request.method,
    path: request.path,
    headers: Object.fromEntries(forwarded),
    body: request.body,
    timeoutMilliseconds: Math.max(1, Math.ceil(request.deadlineAt - now)),
    ...(agentIncarnation === undefined ? {} : { agentIncarnation }),
    ...(request.versionDigest === undefined ? {} : { versionDigest: request.versionDigest }),
  };
}

/** Creates an attempt id, unique across all processes. */
export function createAttemptId(): string {
  return randomUUID();
}

/**
 * Waits for the agent's identity, which must arrive before any part of the request is sent;
 * resolves with null if it does not arrive in time.
 */
async function awaitIdentity(connection: PeerConnection): Promise<PeerIdentity | null> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<null>((resolve) => {
    timer = setTimeout(() => {
      resolve(null);
    }, CONNECT_TIMEOUT_MILLISECONDS);
  });
  const result = await Promise.race([connection.peer.catch(() => null), timeout]);
  clearTimeout(timer);
  return result;
}

/** Returns why an attempt must not be sent; null if it may be sent. */
function findReasonNotToSend(
  parameters: AttemptParameters,
  peer: PeerIdentity | null,
): string | null {
  if (peer === null) return 'The agent cannot be reached.';
  const { agentIncarnation } = parameters.start;
  const hasRestarted = agentIncarnation !== undefined && agentIncarnation !== peer.incarnation;
  if (hasRestarted) return 'The agent has restarted.';
  return parameters.signal?.aborted === true ? 'The caller has disconnected.' : null;
}

/** Relays the items of one attempt to the sink and checks their order and attempt id. */
async function relayItems(
  parameters: AttemptParameters,
  items: AsyncIterable<AttemptItem>,
  sink: AnswerSink,
): Promise<AttemptOutcome> {
  let head: AttemptHead | undefined;
  for await (const item of items) {
    if (item.attemptId !== parameters.attemptId) throw new ResultError(ResultCode.AnswerMismatched);
    switch (item.kind) {
      case 'head':
        if (head !== undefined) throw new ResultError(ResultCode.AnswerMismatched);
        if (parameters.failsOnServerError && item.status >= SERVER_ERROR_STATUS) {
          return createFailure(
            ResultCode.UpstreamFailed,
            'unknown',
            `upstream status ${item.status}`,
          );
        }
        if (isOtherVersion(parameters, item)) throw new ResultError(ResultCode.AnswerMismatched);
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
        return createFailure(
          item.code,
          item.run,
          item.detail,
          item.upstreamCrashed ? 'certain' : 'none',
        );
    }
  }
  return createFailure(
    ResultCode.AnswerIncomplete,
    'unknown',
    'The agent ended the stream before the answer was complete.',
  );
}

function isOtherVersion(parameters: AttemptParameters, head: AttemptHead): boolean {
  const { versionDigest } = parameters.start;
  return versionDigest !== undefined && head.versionDigest !== versionDigest;
}

/** Converts an error of an attempt's stream to a failure. */
function toAttemptFailure(parameters: AttemptParameters, error: unknown): AttemptFailure {
  const { code, message } = toResultError(error, ResultCode.InternalError);
  if (parameters.signal?.aborted === true) return createFailure(code, 'unknown', message);
  if (code === ResultCode.UnknownMessage) return createFailure(code, 'not-run', message);
  if (code === ResultCode.CallTimedOut) {
    return createFailure(ResultCode.DeadlineExceeded, 'unknown', 'The deadline was exceeded.');
  }
  const crash = code === ResultCode.ConnectionLost ? 'suspected' : 'none';
  return createFailure(code, 'unknown', message, crash);
}

/** Creates an attempt runner. */
export function createAttemptRunner({
  client,
  connectionMonitor,
}: AttemptRunnerOptions): AttemptRunner {
  return {
    run: async (parameters, sink) => {
      const connection = client.connectionTo(parameters.address);
      const reason = findReasonNotToSend(parameters, await awaitIdentity(connection));
      if (reason !== null) return createUnsentFailure(reason);
      const release = connectionMonitor.watch(connection);
      try {
        const items = connection.stream('attempt.run', parameters.start, {
          timeoutMilliseconds: parameters.start.timeoutMilliseconds,
          ...(parameters.signal === undefined ? {} : { signal: parameters.signal }),
        });
        return await relayItems(parameters, items, sink);
      } catch (error) {
        const failure = toAttemptFailure(parameters, error);
        // The answer belongs to another request, so no answer on this connection can be trusted.
        if (failure.code === ResultCode.AnswerMismatched) connection.destroy();
        return failure;
      } finally {
        release();
      }
    },
  };
}
