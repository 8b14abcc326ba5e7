import { ResultCode } from '@burdockrail/common/resultCode.js';
import { toResultError } from '@burdockrail/common/outcome.js';
import { acceptRequest } from './requestAccept.js';
import { answerRefusal } from './requestAnswer.js';
import { createRequestCaller, type RequestCaller } from './requestCaller.js';
import { requestHeaderNames } from './requestIdentify.js';
import { refusal, type RefusedResult } from './requestTypes.js';
import type { DaemonContext } from './daemonRole.js';
import { OUTCOMES_PATH } from './entryOutcomes.js';
import type { EntryEndpoint } from './entryEndpoints.js';
import type { ExchangeHandler } from './entryServer.js';
import type { RequestPipeline } from './requestPipeline.js';
import type { EntrySettings } from '@burdockrail/settings/settingsSchema.js';
import type { IncomingMessage } from 'node:http';

/** Options of {@link createExchangeHandler}. */
export interface ExchangeHandlerOptions {
  readonly context: DaemonContext;
  readonly settings: EntrySettings;
  readonly endpoints: Readonly<Record<string, EntryEndpoint>>;
  readonly runRequest: RequestPipeline;
  /** Answers a query for the outcome of a non-repeatable request. */
  readonly answerOutcomeQuery: (message: IncomingMessage, caller: RequestCaller) => Promise<void>;
  readonly isDraining: () => boolean;
}

/**
 * Creates the refusal of a request that has not been read completely.
 *
 * @remarks
 * An earlier request with the same idempotency key may have run, so the run state with a key is
 * `unknown`.
 */
function refuseBeforeReading(
  message: IncomingMessage,
  code: ResultCode,
  detail?: string,
): RefusedResult {
  const hasKey = message.headers[requestHeaderNames.idempotencyKey] !== undefined;
  return refusal(code, hasKey ? 'unknown' : 'not-run', detail === undefined ? {} : { detail });
}

async function handleRequest(
  options: ExchangeHandlerOptions,
  message: IncomingMessage,
  caller: RequestCaller,
): Promise<void> {
  const arrivedAt = options.context.time.now();
  if (options.isDraining()) {
    answerRefusal(caller, refuseBeforeReading(message, ResultCode.Draining));
    return;
  }
  const accepted = await acceptRequest(message, caller, options.settings, arrivedAt);
  if (accepted.kind === 'failure') {
    answerRefusal(caller, refuseBeforeReading(message, accepted.code, accepted.detail));
    return;
  }
  await options.runRequest(accepted.value);
}

/** Creates the handler of all HTTP exchanges of an entry. */
export function createExchangeHandler(options: ExchangeHandlerOptions): ExchangeHandler {
  return async (message, response) => {
    const caller = createRequestCaller(message, response, options.context.time);
    try {
      const path = (message.url ?? '').split('?')[0] ?? '';
      const endpoint = options.endpoints[path];
      if (endpoint !== undefined) endpoint(caller);
      else if (path.startsWith(OUTCOMES_PATH)) await options.answerOutcomeQuery(message, caller);
      else await handleRequest(options, message, caller);
    } catch (error) {
      const { message: reason } = toResultError(error, ResultCode.InternalError);
      options.context.log.write('requestFailed', { reason });
      answerRefusal(caller, refusal(ResultCode.InternalError, 'unknown'));
    }
  };
}
