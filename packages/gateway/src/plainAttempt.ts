import { judgeAnswer, type PlainOutcome } from './attemptOutcome.js';
import type { AnswerHeaders, HeaderMap } from './dialect.js';
import { connectionLimit, type EntryContext } from './entryContext.js';
import { outgoingRequest, type EntryRequest } from './entryRequest.js';

/** Largest answer that is held before it is passed on, in bytes. */
const MAXIMUM_ANSWER_BYTES = 8 * 1024 * 1024;

interface Collected {
  readonly status: number;
  readonly headers: AnswerHeaders;
  readonly rawHeaders: readonly string[];
  readonly parts: Buffer[];
  size: number;
}

/** Sends a request to one upstream and collects its whole answer. */
export async function attemptPlain(
  entry: EntryContext,
  request: EntryRequest,
  upstream: { readonly id: string; readonly address: string },
  patience: number,
): Promise<PlainOutcome> {
  const { connections, dialect, time, upstreams } = entry;
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
    let collected: Collected | null = null;
    let timedOut = false;
    const timer = setTimeout(() => {
      timedOut = true;
      attempt.abort();
    }, patience);
    const settle = (outcome: PlainOutcome): void => {
      clearTimeout(timer);
      resolve(outcome);
    };
    const attempt = connections.run(
      upstream.address,
      connectionLimit(entry, admitted.service),
      outgoing,
      {
        mayStart: () => true,
        sent: () => {
          sent = true;
        },
        head: (status, headers: HeaderMap, rawHeaders) => {
          const read = dialect.readAnswer(headers);
          if (read.load !== null) {
            const { running, waiting } = read.load;
            upstreams.reported(upstream.id, running + waiting, time.now());
          }
          collected = { status, headers: read, rawHeaders, parts: [], size: 0 };
        },
        data: (bytes) => {
          if (collected === null) return;
          collected.parts.push(bytes);
          collected.size += bytes.length;
          if (collected.size > MAXIMUM_ANSWER_BYTES) attempt.abort();
        },
        end: () => {
          if (collected === null) {
            settle({ kind: 'unknown', verdict: 'broken', reason: 'no answer' });
            return;
          }
          const { status, headers, rawHeaders, parts, size } = collected;
          const body = Buffer.concat(parts, size);
          settle(judgeAnswer(request.id, status, headers, rawHeaders, body));
        },
        failed: (error) => {
          const verdict = timedOut ? 'silent' : 'broken';
          const { message } = error;
          if (sent) settle({ kind: 'unknown', verdict, reason: message });
          else settle({ kind: 'notRun', verdict, reason: message, sent });
        },
      },
      signal,
    );
  });
}
