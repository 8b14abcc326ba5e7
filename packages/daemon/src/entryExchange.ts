import { ResultCode } from '@burdockrail/common/resultCode.js';
import { toResultError } from '@burdockrail/common/outcome.js';
import { acceptRequest } from './requestAccept.js';
import { answerRefusal } from './requestAnswer.js';
import { createRequestCaller, type RequestCaller } from './requestCaller.js';
import { requestHeaderNames } from './requestIdentify.js';
import { refused, type RefusedResult } from './requestTypes.js';
import type { DaemonContext } from './daemonRole.js';
import { OUTCOMES_PATH } from './entryOutcomes.js';
import type { EntryPage } from './entryPages.js';
import type { ExchangeHandler } from './entryServer.js';
import type { RequestPath } from './requestPath.js';
import type { EntrySettings } from '@burdockrail/settings/settingsSchema.js';
import type { IncomingMessage } from 'node:http';

/** What every exchange of an entry uses. */
export interface ExchangeParts {
  readonly context: DaemonContext;
  readonly settings: EntrySettings;
  readonly pages: Readonly<Record<string, EntryPage>>;
  readonly path: RequestPath;
  /** Answers the question after the outcome of a non-repeatable request. */
  readonly outcomes: (message: IncomingMessage, caller: RequestCaller) => Promise<void>;
  readonly isDraining: () => boolean;
}

/**
 * A refusal before the request was looked at.
 *
 * @remarks
 * An earlier sending under the same idempotency key may have run, so with a key nothing is known.
 */
function refuseUnread(message: IncomingMessage, code: ResultCode, detail?: string): RefusedResult {
  const hasKey = message.headers[requestHeaderNames.idempotencyKey] !== undefined;
  return refused(code, hasKey ? 'unknown' : 'not-run', detail === undefined ? {} : { detail });
}

async function handleRequest(
  parts: ExchangeParts,
  message: IncomingMessage,
  caller: RequestCaller,
): Promise<void> {
  const arrivedAt = parts.context.time.now();
  if (parts.isDraining()) {
    answerRefusal(caller, refuseUnread(message, ResultCode.Draining));
    return;
  }
  const accepted = await acceptRequest(message, caller, parts.settings, arrivedAt);
  if (accepted.kind === 'failure') {
    answerRefusal(caller, refuseUnread(message, accepted.code, accepted.detail));
    return;
  }
  await parts.path(accepted.value);
}

/** Creates the handler of all HTTP exchanges of an entry. */
export function createExchangeHandler(parts: ExchangeParts): ExchangeHandler {
  return async (message, response) => {
    const caller = createRequestCaller(message, response, parts.context.time);
    try {
      const path = (message.url ?? '').split('?')[0] ?? '';
      const page = parts.pages[path];
      if (page !== undefined) page(caller);
      else if (path.startsWith(OUTCOMES_PATH)) await parts.outcomes(message, caller);
      else await handleRequest(parts, message, caller);
    } catch (error) {
      const { message: reason } = toResultError(error, ResultCode.InternalError);
      parts.context.log.write('requestFailed', { reason });
      answerRefusal(caller, refused(ResultCode.InternalError, 'unknown'));
    }
  };
}
