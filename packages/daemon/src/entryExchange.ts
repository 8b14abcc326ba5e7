import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { ClientExchange } from '@burdockrail/ingress/clientServer.js';
import { toResultError } from '@burdockrail/common/outcome.js';
import { acceptRequest } from './requestAccept.js';
import { answerRefusal } from './requestAnswer.js';
import { createRequestCaller, type RequestCaller } from './requestCaller.js';
import { errorEvent } from './requestRelay.js';
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

/** An exchange whose answer is not complete. */
interface OpenExchange {
  readonly client: ClientExchange;
  readonly message: IncomingMessage;
  readonly caller: RequestCaller;
  /** True once an upstream may have got the request. */
  mayHaveRun: boolean;
}

async function handleRequest(
  options: ExchangeHandlerOptions,
  exchange: OpenExchange,
): Promise<void> {
  const { client, message, caller } = exchange;
  const arrivedAt = options.context.time.now();
  const accepted = await acceptRequest(client, caller, options.settings, arrivedAt);
  // A refusal that is sent before the body has been read can be lost by a reset.
  if (options.isDraining()) {
    answerRefusal(caller, refuseBeforeReading(message, ResultCode.Draining));
    return;
  }
  if (accepted.kind === 'failure') {
    answerRefusal(caller, refuseBeforeReading(message, accepted.code, accepted.detail));
    return;
  }
  exchange.mayHaveRun = true;
  await options.runRequest(accepted.value);
}

/** How far an exchange has come that the end of its process cuts short. */
type Progress = 'notRun' | 'mayHaveRun' | 'begun';

/** The request may have run, so that this must not promise anything. */
const unfinishedRefusal = refusal(ResultCode.DeadlineExceeded, 'unknown', {
  detail: 'the process ends before the answer has arrived',
});

/** Ends of an exchange by its progress. */
const ends: Readonly<Record<Progress, (exchange: OpenExchange) => void>> = {
  notRun: ({ message, caller }) => {
    answerRefusal(caller, refuseBeforeReading(message, ResultCode.Draining));
  },
  mayHaveRun: ({ caller }) => {
    answerRefusal(caller, unfinishedRefusal);
  },
  begun: ({ caller }) => {
    caller.abort(errorEvent(unfinishedRefusal));
  },
};

function progressOf({ caller, mayHaveRun }: OpenExchange): Progress {
  if (caller.headSent) return 'begun';
  return mayHaveRun ? 'mayHaveRun' : 'notRun';
}

/** Creates the handler of all HTTP exchanges of an entry. */
export function createExchangeHandler(options: ExchangeHandlerOptions): ExchangeHandler {
  const exchanges = new Set<OpenExchange>();
  const { log } = options.context;
  return {
    handle: async (client) => {
      const { request: message } = client;
      const caller = createRequestCaller(client);
      const exchange: OpenExchange = { client, message, caller, mayHaveRun: false };
      exchanges.add(exchange);
      try {
        const path = (message.url ?? '').split('?')[0] ?? '';
        const endpoint = options.endpoints[path];
        if (endpoint !== undefined) endpoint(caller);
        else if (path.startsWith(OUTCOMES_PATH)) {
          exchange.mayHaveRun = true;
          await options.answerOutcomeQuery(message, caller);
        } else await handleRequest(options, exchange);
      } catch (error) {
        const { message: reason } = toResultError(error, ResultCode.InternalError);
        log.write('requestFailed', { reason });
        answerRefusal(caller, refusal(ResultCode.InternalError, 'unknown'));
      } finally {
        exchanges.delete(exchange);
      }
    },
    endAll: () => {
      const counts: Record<Progress, number> = { notRun: 0, mayHaveRun: 0, begun: 0 };
      for (const exchange of exchanges) {
        const progress = progressOf(exchange);
        counts[progress] += 1;
        ends[progress](exchange);
      }
      log.write('requestsEndedByStop', counts);
    },
  };
}
