import { createByteCollector, type ByteCollector } from '@burdockrail/common/byteCollector.js';
import { timerDelay } from '@burdockrail/common/timerDelay.js';
import type { UpstreamIncarnation } from '@burdockrail/protocol/protocolDirectory.js';
import {
  classifyAnswer,
  endsConnection,
  isOwnAnswer,
  restingOutcome,
  type BufferedAttemptOutcome,
} from './attemptOutcome.js';
import type { AnswerHeaders, HeaderMap } from './dialect.js';
import { connectionLimit, type EntryContext } from './entryContext.js';
import { outgoingRequest, type EntryRequest } from './entryRequest.js';
import { leavingOutcome } from './upstreamDepartures.js';

/** Maximum size of a buffered answer, in bytes. */
const MAXIMUM_BUFFERED_BYTES = 8 * 1024 * 1024;

interface BufferedAnswer {
  readonly status: number;
  readonly headers: AnswerHeaders;
  readonly rawHeaders: readonly string[];
  readonly body: ByteCollector;
}

/** What happens while an attempt takes longer than an answer usually does. */
export interface SilenceOptions {
  readonly silenceMilliseconds: number;
  /** Called after each `silenceMilliseconds` without a complete answer. */
  readonly onSilent: () => void;
  /** Aborts the attempt. */
  readonly abandoned: AbortSignal;
}

/** Sends a request to one upstream and buffers its complete answer. */
export async function attemptBuffered(
  entry: EntryContext,
  request: EntryRequest,
  upstream: UpstreamIncarnation & { readonly address: string },
  timeoutMilliseconds: number,
  silence?: SilenceOptions,
): Promise<BufferedAttemptOutcome> {
  const { connections, dialect, time, upstreams, limits, departures, rests, answerMemory } = entry;
  const { admitted, signal } = request;
  const outgoing = outgoingRequest(
    request,
    {
      deadlineMilliseconds: Math.floor(admitted.deadline - time.now()),
      upstreamId: upstream.id,
      team: admitted.team?.name ?? null,
      version: null,
      lastEventId: null,
    },
    dialect,
  );
  return new Promise((resolve) => {
    let sent = false;
    let buffered: BufferedAnswer | null = null;
    let isTimedOut = false;
    let isOverLimit = false;
    let isLeaving = false;
    let isResting = false;
    const timer = setTimeout(() => {
      isTimedOut = true;
      attempt.abort();
    }, timerDelay(timeoutMilliseconds));
    const silenceTimer =
      silence === undefined
        ? undefined
        : setInterval(silence.onSilent, timerDelay(silence.silenceMilliseconds));
    const abandon = (): void => {
      attempt.abort();
    };
    silence?.abandoned.addEventListener('abort', abandon, { once: true });
    const stopWaiting = departures.whenLeaving(upstream, () => {
      isLeaving = true;
      attempt.abort();
    });
    const settle = (outcome: BufferedAttemptOutcome): void => {
      stopWaiting();
      clearTimeout(timer);
      clearInterval(silenceTimer);
      buffered?.body.close();
      resolve(outcome);
    };
    const attempt = connections.run(
      upstream.address,
      connectionLimit(entry, admitted.service),
      outgoing,
      {
        mayStart: () => {
          // The upstream may have left or begun to rest while this request waited for a connection.
          isLeaving = departures.isLeaving(upstream);
          isResting = rests.restMilliseconds(upstream, time.now()) > 0;
          return !isLeaving && !isResting;
        },
        sent: () => {
          stopWaiting();
          sent = true;
        },
        head: (status, headers: HeaderMap, rawHeaders) => {
          const answerHeaders = dialect.readAnswer(headers);
          if (isOwnAnswer(request.id, answerHeaders))
            departures.recordAnswer(upstream, answerHeaders);
          if (endsConnection(request.id, status, answerHeaders)) {
            settle(classifyAnswer(request.id, status, answerHeaders, rawHeaders, Buffer.alloc(0)));
            attempt.abort();
            return;
          }
          if (answerHeaders.load !== null) {
            const { running, waiting } = answerHeaders.load;
            upstreams.recordLoad(upstream.id, running + waiting, time.now());
          }
          limits.recordAnswer(upstream.id, answerHeaders);
          rests.recordAnswer(upstream, status, answerHeaders, time.now());
          buffered = {
            status,
            headers: answerHeaders,
            rawHeaders,
            body: createByteCollector({
              maximumBytes: MAXIMUM_BUFFERED_BYTES,
              budget: answerMemory,
            }),
          };
        },
        data: (bytes) => {
          if (buffered === null || buffered.body.add(bytes)) return;
          isOverLimit = true;
          attempt.abort();
        },
        end: () => {
          if (buffered === null) {
            settle({ kind: 'unknown', verdict: 'broken', reason: 'no answer' });
            return;
          }
          const { status, headers, rawHeaders, body } = buffered;
          settle(classifyAnswer(request.id, status, headers, rawHeaders, body.take()));
        },
        failed: (error) => {
          if (isLeaving || isResting) {
            settle(isLeaving ? leavingOutcome : restingOutcome);
            return;
          }
          const verdict = isOverLimit ? 'failed' : isTimedOut ? 'silent' : 'broken';
          const message = isOverLimit ? 'the answer exceeds the size limit' : error.message;
          if (sent) settle({ kind: 'unknown', verdict, reason: message });
          else settle({ kind: 'notRun', verdict, reason: message, sent });
        },
      },
      signal,
    );
  });
}
