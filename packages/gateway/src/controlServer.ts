import { isUtf8 } from 'node:buffer';
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { ResultCode, resultName } from '@burdockrail/common/resultCode.js';
import { createSharedOperation } from '@burdockrail/common/sharedOperation.js';
import { readClientBody, type BodyFailure } from '@burdockrail/ingress/clientBody.js';
import { createClientServer, type ClientExchange } from '@burdockrail/ingress/clientServer.js';
import {
  departureIssue,
  upstreamRecordIssue,
} from '@burdockrail/membership/upstreamRecordCheck.js';
import { configurationIssue } from '@burdockrail/routing/routeConfiguration.js';
import { createChangeSignal } from './changeSignal.js';
import type { ControlDirectory } from './controlDirectory.js';
import type { LeaderClient } from './leaderClient.js';
import type { ControlCall } from './dialect.js';
import type { GatewayContext } from './gatewayContext.js';
import type { ControlSettings } from './gatewaySettings.js';
import { describeOddId } from './upstreamRecordFilter.js';

/** Maximum size of a body, in bytes: a configuration with several thousand routes. */
const MAXIMUM_CONFIGURATION_BYTES = 16 * 1024 * 1024;

/** Maximum size of any other body, in bytes: a heartbeat that lists some hundred models. */
const MAXIMUM_MESSAGE_BYTES = 64 * 1024;

const maximumBodyBytes: Readonly<Record<ControlCall['kind'], number>> = {
  heartbeat: MAXIMUM_MESSAGE_BYTES,
  leave: MAXIMUM_MESSAGE_BYTES,
  putConfiguration: MAXIMUM_CONFIGURATION_BYTES,
  getConfiguration: MAXIMUM_MESSAGE_BYTES,
  nameWeights: MAXIMUM_MESSAGE_BYTES,
};

/** Reads of the configuration at the same time; each asks a quorum and holds a whole document. */
const MAXIMUM_CONCURRENT_READS = 4;

/** Deflate level; higher levels cost more time than the saved bytes are worth. */
const COMPRESSION_LEVEL = 3;

/** HTTP answer to an upstream or operator. */
interface ControlAnswer {
  readonly status: number;
  readonly body: string;
}

/** HTTP server for upstreams' heartbeats and operators' requests. */
export interface ControlServer extends AsyncDisposable {
  /** Stops listening; resolves when the calls in progress have been answered. */
  drain(): Promise<void>;
}

/** Decodes UTF-8; `null` for other bytes, which would be read back changed. */
function decodeText(bytes: Buffer): string | null {
  return isUtf8(bytes) ? bytes.toString('utf8') : null;
}

/** Longest wait for calls in progress, in milliseconds; an operation times out before. */
const DRAIN_MILLISECONDS = 1_000;

/** Starts the server; resolves when it is listening. */
export async function startControlServer(
  context: GatewayContext,
  control: ControlSettings,
  directory: ControlDirectory,
  leaderClient: LeaderClient,
): Promise<ControlServer> {
  const { dialect, log, time, metrics } = context;
  const okAnswer: ControlAnswer = { status: 200, body: '{}' };
  const errorAnswer = (status: number, code: ResultCode, text: string): ControlAnswer => ({
    status,
    body: dialect.errorBody(code, text),
  });

  const putConfiguration = async (body: string): Promise<ControlAnswer> => {
    const startedAt = time.now();
    const decoded = dialect.decodeConfiguration(body);
    const issue = decoded.kind === 'failure' ? decoded.detail : configurationIssue(decoded.value);
    if (decoded.kind === 'failure' || issue !== null) {
      log.write('orderTaken', { order: 'configure', outcome: 'invalid', reason: issue });
      return errorAnswer(400, ResultCode.FleetInvalid, issue ?? '');
    }
    const { version } = decoded.value;
    const document = deflateRawSync(body, { level: COMPRESSION_LEVEL });
    const outcome = await leaderClient.propose({ kind: 'configure', version, document });
    const isSuccess = outcome.kind === 'success';
    log.write('orderTaken', {
      order: 'configure',
      version,
      outcome: isSuccess ? 'acknowledged' : resultName(outcome.code),
      held: isSuccess ? outcome.value.version : null,
      taken: isSuccess ? outcome.value.taken : null,
      milliseconds: Math.round(time.now() - startedAt),
    });
    return isSuccess ? okAnswer : errorAnswer(503, outcome.code, outcome.detail);
  };

  const readConfiguration = async (): Promise<ControlAnswer> => {
    const outcome = await leaderClient.read();
    if (outcome.kind === 'failure') return errorAnswer(503, outcome.code, outcome.detail);
    const { configuration } = outcome.value;
    if (configuration === null)
      return errorAnswer(503, ResultCode.GroupNotFormed, 'no configuration has been stored yet');
    return { status: 200, body: inflateRawSync(configuration.document).toString('utf8') };
  };
  const getConfiguration = createSharedOperation(readConfiguration, {
    maximumConcurrent: MAXIMUM_CONCURRENT_READS,
  });

  const nameWeights = async (body: string): Promise<ControlAnswer> => {
    const weights = dialect.decodeModelVersion(body);
    if (weights === null)
      return errorAnswer(400, ResultCode.FleetInvalid, 'the model or the version is missing');
    const outcome = await leaderClient.propose({
      kind: 'nameWeights',
      ...weights,
      namedAt: Date.now(),
    });
    const result = outcome.kind === 'success' ? 'acknowledged' : resultName(outcome.code);
    log.write('orderTaken', { order: 'nameWeights', ...weights, outcome: result });
    return outcome.kind === 'success' ? okAnswer : errorAnswer(503, outcome.code, outcome.detail);
  };

  const notHeldAnswer = errorAnswer(
    503,
    ResultCode.QuorumUnreachable,
    'too few control processes hold the departure',
  );

  const fullAnswer = errorAnswer(503, ResultCode.Overloaded, 'there are too many upstreams');

  const heartbeat = async (id: string, body: string): Promise<ControlAnswer> => {
    const record = dialect.decodeHeartbeat(id, body);
    const issue = record === null ? 'unreadable' : upstreamRecordIssue(record, Date.now());
    const logRefused = (reason: string): void => {
      log.write('heartbeatRefused', {
        upstream: describeOddId(id),
        readable: record !== null,
        sequence: record?.sequence ?? null,
        reason,
      });
    };
    if (record !== null && issue === null && !directory.hasRoomFor(record)) {
      logRefused('too many upstreams');
      return fullAnswer;
    }
    const isNewer = record !== null && issue === null && directory.recordHeartbeat(record);
    if (!isNewer) logRefused(issue ?? 'not newer than the stored record');
    if (record === null || issue !== null)
      return errorAnswer(400, ResultCode.BadRequest, `the heartbeat is not valid: ${issue}`);
    if (record.state === 'ready') return okAnswer;
    return (await directory.recordDraining(record)) ? okAnswer : notHeldAnswer;
  };

  const leave = async (id: string, body: string): Promise<ControlAnswer> => {
    const message = dialect.decodeLeave(body);
    const current = directory.upstreams.records.find(({ record }) => record.id === id);
    const issue =
      message === null
        ? 'unreadable'
        : departureIssue(
            { id, startedAt: message.startedAt ?? 0, sequence: 0, state: 'gone' },
            Date.now(),
          );
    if (message === null || issue !== null) {
      log.write('leaveRefused', { upstream: describeOddId(id), reason: issue });
      return errorAnswer(400, ResultCode.BadRequest, `the message is not valid: ${issue}`);
    }
    const { startedAt } = message;
    const isEarlier =
      startedAt !== null && current !== undefined && startedAt < current.record.startedAt;
    if (isEarlier) return okAnswer;
    return (await directory.recordLeave(id, startedAt)) ? okAnswer : notHeldAnswer;
  };

  type Handler<Kind extends ControlCall['kind']> = (
    call: Extract<ControlCall, { readonly kind: Kind }>,
    body: string,
  ) => ControlAnswer | Promise<ControlAnswer>;
  const handlers: { readonly [Kind in ControlCall['kind']]: Handler<Kind> } = {
    heartbeat: async ({ id }, body) => heartbeat(id, body),
    leave: async ({ id }, body) => leave(id, body),
    putConfiguration: async (_call, body) => putConfiguration(body),
    getConfiguration,
    nameWeights: async (_call, body) => nameWeights(body),
  };

  const bodyAnswers: Readonly<Record<Exclude<BodyFailure, 'aborted'>, ControlAnswer>> = {
    tooLarge: errorAnswer(413, ResultCode.BodyTooLarge, 'the request body is too large'),
    noMemory: errorAnswer(503, ResultCode.Overloaded, 'clients send more than can be held'),
  };
  const answered = createChangeSignal();
  let inProgress = 0;
  let isDraining = false;

  const handle = async (client: ClientExchange): Promise<void> => {
    const { request, response, turn } = client;
    const call = dialect.controlCall(request.method ?? '', request.url ?? '');
    const send = ({ status, body }: ControlAnswer): void => {
      const endsConnection = client.endsInput() || (isDraining && turn.mayEndConnection());
      response.writeHead(status, {
        'content-type': 'application/json',
        ...(endsConnection ? { connection: 'close' } : {}),
      });
      client.answerHeld(body.length);
      response.end(body);
    };
    if (!client.hasMemory) {
      send(bodyAnswers.noMemory);
      return;
    }
    if (call === null) {
      send(errorAnswer(404, ResultCode.UnknownMessage, 'unknown method or path'));
      return;
    }
    metrics.count('burdockrail_control_calls_total', { call: call.kind });
    const read = await readClientBody(client, maximumBodyBytes[call.kind]);
    if (read.kind === 'aborted') return;
    if (read.kind !== 'whole') {
      send(bodyAnswers[read.kind]);
      return;
    }
    const body = decodeText(read.bytes ?? Buffer.alloc(0));
    if (body === null) {
      send(errorAnswer(400, ResultCode.BadRequest, 'the request body is not UTF-8'));
      return;
    }
    const handleCall = handlers[call.kind] as (
      call: ControlCall,
      body: string,
    ) => ControlAnswer | Promise<ControlAnswer>;
    send(await handleCall(call, body));
  };

  const { server, connections, listen } = createClientServer({
    maximumConnections: context.shares.maximumConnections('callers'),
    guard: context.shares.guard,
    time,
    metrics,
    handle: (client) => {
      inProgress += 1;
      client.response.once('close', () => {
        inProgress -= 1;
        answered.notify();
      });
      handle(client).catch((error: unknown) => {
        log.write('requestFailed', { reason: String(error) });
        client.response.destroy();
      });
    },
  });
  await listen(control.listen);

  const endCalls = async (): Promise<void> => {
    server.close();
    isDraining = true;
    connections.closeWhenIdle();
    const signal = AbortSignal.timeout(DRAIN_MILLISECONDS);
    while (inProgress > 0 && !signal.aborted) await answered.wait(DRAIN_MILLISECONDS, signal);
  };
  let drained: Promise<void> | null = null;
  const drain = async (): Promise<void> => {
    drained ??= endCalls();
    return drained;
  };
  return {
    drain,
    [Symbol.asyncDispose]: async () => {
      await drain();
      server.closeAllConnections();
    },
  };
}
