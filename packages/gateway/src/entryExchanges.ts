import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { CallerAnswer } from './callerAnswer.js';
import { drainingRefusal, type Refusal } from './entryAdmission.js';
import type { EntryContext } from './entryContext.js';
import type { RequestTrace } from './entryRequest.js';

/** A request without a complete answer. */
export interface OpenExchange {
  readonly answer: Pick<CallerAnswer, 'destroyConnection' | 'headersSent' | 'refuse' | 'state'>;
  readonly trace: Pick<RequestTrace, 'attempts' | 'cause'>;
  /** Ends the work on the request. */
  readonly cancellation: Pick<AbortController, 'abort'>;
}

/** Requests in progress, each of which is answered before the process ends. */
export interface EntryExchanges {
  /** Time by which every request is answered; infinite until the end is announced. */
  readonly endsAt: Milliseconds;
  /** Adds a request until the returned function is called. */
  open(exchange: OpenExchange): () => void;
  /**
   * Called when a request is about to begin. Returns its refusal if it can't end before the process;
   * later it is refused if it can't any more and has not been sent to an upstream.
   */
  begin(exchange: OpenExchange, expectedMilliseconds: Milliseconds): Refusal | null;
  announceEnd(endsAt: Milliseconds): void;
  /** Refuses requests that have not begun. */
  stopAdmission(): void;
  /** Answers each request that has no complete answer, and ends the work on it. */
  endAll(): void;
}

/** When a request must have been sent to an upstream. */
interface ExchangeStart {
  /** Time that the request is expected to take; `null` before it has begun. */
  expectedMilliseconds: Milliseconds | null;
  /** Refuses the request once it can't end in time any more. */
  timer: NodeJS.Timeout | undefined;
}

/** How far a request has come that the end of its process cuts short. */
type Progress = 'notRun' | 'mayHaveRun' | 'begun';

const outlastingRefusal: Refusal = {
  ...drainingRefusal,
  detail: 'the process ends before the request would',
};

/** The request may have run, so that this must not promise anything. */
const unfinishedRefusal: Refusal = {
  code: ResultCode.DeadlineExceeded,
  detail: 'the process ends before the answer has arrived',
  retryAfterMilliseconds: null,
};

function progressOf({ answer, trace }: OpenExchange): Progress {
  if (answer.headersSent) return 'begun';
  return trace.attempts > 0 ? 'mayHaveRun' : 'notRun';
}

/** Ends of a request by its progress. */
const ends: Readonly<Record<Progress, (exchange: OpenExchange) => void>> = {
  notRun: ({ answer }) => {
    answer.refuse(outlastingRefusal);
  },
  mayHaveRun: ({ answer }) => {
    answer.refuse(unfinishedRefusal);
  },
  begun: ({ answer }) => {
    answer.destroyConnection();
  },
};

/** Creates an empty set. */
export function createEntryExchanges(
  entry: Pick<EntryContext, 'log' | 'metrics' | 'time'>,
): EntryExchanges {
  const { log, metrics, time } = entry;
  const exchanges = new Map<OpenExchange, ExchangeStart>();
  let endsAt = Number.POSITIVE_INFINITY;
  let hasStopped = false;

  const end = (exchange: OpenExchange): Progress | null => {
    if (exchange.answer.state !== 'open') return null;
    const progress = progressOf(exchange);
    exchange.trace.cause = `the process ends: ${progress}`;
    metrics.count('burdockrail_requests_ended_by_stop_total', { progress });
    ends[progress](exchange);
    exchange.cancellation.abort();
    return progress;
  };

  const refuseWhenTooLate = (exchange: OpenExchange, start: ExchangeStart): void => {
    if (start.expectedMilliseconds === null || endsAt === Number.POSITIVE_INFINITY) return;
    clearTimeout(start.timer);
    start.timer = setTimeout(
      () => {
        if (exchange.trace.attempts === 0) end(exchange);
      },
      Math.max(0, endsAt - start.expectedMilliseconds - time.now()),
    );
  };

  return {
    get endsAt() {
      return endsAt;
    },
    open: (exchange) => {
      const start: ExchangeStart = { expectedMilliseconds: null, timer: undefined };
      exchanges.set(exchange, start);
      return () => {
        clearTimeout(start.timer);
        exchanges.delete(exchange);
      };
    },
    begin: (exchange, expectedMilliseconds) => {
      if (hasStopped) return drainingRefusal;
      if (time.now() + expectedMilliseconds > endsAt) return outlastingRefusal;
      const start = exchanges.get(exchange);
      if (start === undefined) return null;
      start.expectedMilliseconds = expectedMilliseconds;
      refuseWhenTooLate(exchange, start);
      return null;
    },
    announceEnd: (announced) => {
      endsAt = announced;
      for (const [exchange, start] of exchanges) refuseWhenTooLate(exchange, start);
    },
    stopAdmission: () => {
      hasStopped = true;
    },
    endAll: () => {
      hasStopped = true;
      const counts: Record<Progress, number> = { notRun: 0, mayHaveRun: 0, begun: 0 };
      for (const exchange of [...exchanges.keys()]) {
        const progress = end(exchange);
        if (progress !== null) counts[progress] += 1;
      }
      log.write('requestsEndedByStop', counts);
    },
  };
}
