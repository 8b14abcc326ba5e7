import { ResultCode } from '@burdockrail/common/resultCode.js';
import { refusalRetryAfterMilliseconds } from '@burdockrail/limits/refusalRetryAfter.js';
import { streamSlackMilliseconds } from '@burdockrail/limits/streamSlack.js';
import type { EntryContext } from './entryContext.js';
import type { EntryPlaces, GrantedPlace } from './entryPlaces.js';
import type { EntryRequest } from './entryRequest.js';
import { attemptStream, type StreamOutcome } from './streamAttempt.js';

/** Least time left with which a stream is worth starting, in milliseconds. */
const LEAST_ATTEMPT_MILLISECONDS = 50;

/** Slack of a stream that goes on, in milliseconds: its pause counts, not its first event. */
const CONTINUE_SLACK_MILLISECONDS = 600;

/** Engines beyond the route's attempts that may be tried after engines that have ended. */
const EXTRA_AFTER_LOSS = 1;

/** Numbers of events that were passed on, so that none comes twice and none is left out. */
interface Progress {
  lastEventId: number | null;
  events: number;
}

/** Carries out a request whose answer is a stream of events. */
export async function runStream(
  entry: EntryContext,
  places: EntryPlaces,
  request: EntryRequest,
): Promise<void> {
  const { time, beliefs, retries, upstreams, log } = entry;
  const { admitted, answer, signal, trace, caller } = request;
  const { route, service } = admitted;
  const tried = new Set<string>();
  const progress: Progress = { lastEventId: null, events: 0 };
  const engine = beliefs.table?.service(service)?.engine ?? null;
  let sends = 0;
  let lost = 0;
  let mayHaveRun = false;
  let lastReason = '';

  const hasLeft = (): boolean => signal.aborted;

  const mayGoOn = (): boolean => {
    if (signal.aborted || answer.end !== 'open') return false;
    if (mayHaveRun && !route.resumable) return false;
    if (progress.events > 0 && progress.lastEventId === null) return false;
    const most = route.attempts + Math.min(lost, EXTRA_AFTER_LOSS);
    return sends < most && admitted.deadline - time.now() > LEAST_ATTEMPT_MILLISECONDS;
  };

  const slack = (): number =>
    progress.events > 0 || sends > 0
      ? CONTINUE_SLACK_MILLISECONDS
      : streamSlackMilliseconds({
          objectiveMilliseconds: route.objectiveMilliseconds,
          elapsedMilliseconds: request.elapsedBefore + time.now() - request.arrivedAt,
          promptTokens: caller.promptTokens,
          readTokensPerSecond: engine?.readTokensPerSecond ?? 0,
        });

  const runAt = async (place: GrantedPlace): Promise<StreamOutcome> => {
    upstreams.began(place.engine);
    try {
      return await attemptStream(entry, request, place, progress.lastEventId, {
        head: (status, rawHeaders) => {
          trace.firstMilliseconds ??= time.now() - request.arrivedAt;
          answer.begin(status, rawHeaders);
        },
        event: (bytes, id) => {
          // An engine that goes on repeats nothing, but a wrong number must not reach the caller.
          if (id !== null && progress.lastEventId !== null && id <= progress.lastEventId)
            return true;
          if (id !== null) progress.lastEventId = id;
          progress.events += 1;
          return answer.write(bytes);
        },
        onDrain: (resume) => {
          answer.onDrain(resume);
        },
      });
    } finally {
      place.release();
      upstreams.ended(place.engine);
    }
  };

  while (mayGoOn()) {
    const now = time.now();
    if (sends > 0 && !retries.trySpend(service, beliefs.entries, now)) break;
    const outcome = await places.claim(request, tried, slack());
    if (outcome.kind !== 'granted') {
      if (signal.aborted) return;
      if (sends > 0) break;
      const isFull = outcome.kind === 'full';
      trace.cause = isFull ? `full, ${outcome.asked} engines asked` : 'no engine';
      answer.refuse({
        code: isFull ? ResultCode.Overloaded : ResultCode.NoUpstream,
        detail: trace.cause,
        retryAfterMilliseconds: refusalRetryAfterMilliseconds({
          freeInMilliseconds: isFull ? outcome.freeInMilliseconds : null,
          slackMilliseconds: slack(),
        }),
      });
      return;
    }
    const { place } = outcome;
    if (hasLeft()) {
      place.release();
      return;
    }
    tried.add(place.engine);
    trace.attempts += 1;
    trace.upstreams.push(place.engine);
    if (progress.events > 0) {
      log.write('streamContinued', {
        request: request.id,
        upstream: place.engine,
        lastEventId: progress.lastEventId,
      });
    }
    const ended = await runAt(place);
    if (ended.kind === 'complete') {
      upstreams.note(place.engine, 'answered', time.now());
      entry.ranWhole(request.content);
      answer.finish();
      return;
    }
    if (ended.kind === 'whole') {
      upstreams.note(place.engine, ended.status >= 500 ? 'failed' : 'answered', time.now());
      if (answer.begun) break;
      if (ended.status < 500 || !route.resumable || sends + 1 >= route.attempts) {
        answer.whole(ended.status, ended.rawHeaders, ended.body);
        return;
      }
      sends += 1;
      mayHaveRun = true;
      continue;
    }
    if (signal.aborted) return;
    upstreams.note(place.engine, ended.verdict, time.now());
    lastReason = ended.reason;
    log.write('attemptEnded', {
      request: request.id,
      upstream: place.engine,
      outcome: ended.kind,
      verdict: ended.verdict,
      sent: ended.kind === 'broken' || ended.sent,
      reason: ended.reason,
      events: progress.events,
    });
    if (ended.kind === 'broken') {
      mayHaveRun = true;
      sends += 1;
      if (ended.verdict === 'broken') {
        lost += 1;
        entry.brokeOff({ content: request.content, upstream: place.engine });
      }
    } else if (ended.sent) sends += 1;
  }
  if (signal.aborted || answer.end !== 'open') return;
  trace.cause = lastReason;
  if (answer.begun) {
    answer.breakOff();
    return;
  }
  answer.refuse(
    mayHaveRun
      ? { code: ResultCode.UpstreamFailed, detail: lastReason, retryAfterMilliseconds: null }
      : {
          code: ResultCode.Overloaded,
          detail: lastReason,
          retryAfterMilliseconds: refusalRetryAfterMilliseconds({
            freeInMilliseconds: 0,
            slackMilliseconds: slack(),
          }),
        },
  );
}
