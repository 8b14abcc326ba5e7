import { ResultCode } from '@burdockrail/common/resultCode.js';
import { refusalRetryAfterMilliseconds } from '@burdockrail/limits/refusalRetryAfter.js';
import { streamSlackMilliseconds } from '@burdockrail/limits/streamSlack.js';
import type { EntryContext } from './entryContext.js';
import { refusalOfQuarantined } from './entryQuarantine.js';
import type { EntrySlots, GrantedSlot } from './entrySlots.js';
import type { EntryRequest } from './entryRequest.js';
import { attemptStream, type StreamAttemptOutcome } from './streamAttempt.js';
import { restingRefusal } from './upstreamRests.js';

/** Minimum remaining time for starting a stream, in milliseconds. */
const MINIMUM_ATTEMPT_MILLISECONDS = 50;

/** Queueing slack of a resumed stream, in milliseconds: the pause between events limits it. */
const RESUME_SLACK_MILLISECONDS = 600;

/** Additional attempts beyond the route's limit after engines were lost. */
const EXTRA_ATTEMPTS_AFTER_LOSS = 1;

/** Events after which an engine is unlikely to crash because of the request's prompt. */
const SOUND_RUN_EVENTS = 3;

/** Events forwarded so far; prevents duplicates and gaps when a stream is resumed. */
interface Progress {
  lastEventId: number | null;
  events: number;
  lastEventAt: number | null;
}

/** Executes a request whose answer is an event stream; resumes it at another engine if possible. */
export async function runStream(
  entry: EntryContext,
  slots: EntrySlots,
  request: EntryRequest,
): Promise<void> {
  const { time, clusterView, retryBudget, upstreams, quarantine, log } = entry;
  const { admitted, answer, signal, trace, caller } = request;
  const { route, service } = admitted;
  const triedEngines = new Set<string>();
  const progress: Progress = { lastEventId: null, events: 0, lastEventAt: null };
  const engine = clusterView.table?.service(service)?.engine ?? null;
  let sentCount = 0;
  let paidRetries = 0;
  let restMilliseconds: number | null = null;
  let lossCount = 0;
  let mayHaveRun = false;
  let lastReason = '';

  const isAborted = (): boolean => signal.aborted;

  const canAttempt = (): boolean => {
    if (signal.aborted || answer.state !== 'open') return false;
    if (mayHaveRun && !route.resumable) return false;
    if (progress.events > 0 && progress.lastEventId === null) return false;
    if (sentCount > 0 && !quarantine.mayRetry(request.traits, time.now())) return false;
    const limit = route.attempts + Math.min(lossCount, EXTRA_ATTEMPTS_AFTER_LOSS);
    return sentCount < limit && admitted.deadline - time.now() > MINIMUM_ATTEMPT_MILLISECONDS;
  };

  const slack = (): number =>
    progress.events > 0 || sentCount > 0
      ? RESUME_SLACK_MILLISECONDS
      : streamSlackMilliseconds({
          objectiveMilliseconds: route.objectiveMilliseconds,
          elapsedMilliseconds: request.elapsedMilliseconds + time.now() - request.arrivedAt,
          promptTokens: caller.promptTokens,
          readTokensPerSecond: engine?.readTokensPerSecond ?? 0,
        });

  const attemptAt = async (slot: GrantedSlot): Promise<StreamAttemptOutcome> => {
    upstreams.requestStarted(slot.engine);
    try {
      return await attemptStream(entry, request, slot, progress.lastEventId, {
        head: (status, rawHeaders) => {
          trace.firstByteMilliseconds ??= time.now() - request.arrivedAt;
          answer.sendHeaders(status, rawHeaders);
        },
        event: (bytes, id) => {
          // A resuming engine repeats no events; a wrong id must still not reach the caller.
          if (id !== null && progress.lastEventId !== null && id <= progress.lastEventId)
            return true;
          if (id !== null) progress.lastEventId = id;
          progress.events += 1;
          const eventAt = time.now();
          const pause = eventAt - (progress.lastEventAt ?? eventAt);
          trace.longestPauseMilliseconds = Math.max(trace.longestPauseMilliseconds, pause);
          progress.lastEventAt = eventAt;
          return answer.write(bytes);
        },
        onDrain: (resume) => {
          answer.onDrain(resume);
        },
      });
    } finally {
      slot.release();
      upstreams.requestEnded(slot.engine);
    }
  };

  while (canAttempt()) {
    const now = time.now();
    // What turns out not to be sent leaves its retry to the next attempt.
    if (sentCount > paidRetries) {
      if (!retryBudget.trySpend(service, clusterView.entries, now)) break;
      paidRetries = sentCount;
    }
    const outcome = await slots.claim(request, triedEngines, slack());
    if (outcome.kind !== 'granted') {
      if (signal.aborted) return;
      if (outcome.kind === 'resting') restMilliseconds = outcome.restMilliseconds;
      if (sentCount > 0 || outcome.kind === 'resting') break;
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
    const { slot } = outcome;
    if (isAborted()) {
      slot.release();
      return;
    }
    // Engines may have crashed under such requests since the claim was sent.
    const quarantineRefusal = refusalOfQuarantined(quarantine, request.traits, time.now());
    if (quarantineRefusal !== null && !mayHaveRun) {
      slot.release();
      trace.cause = quarantineRefusal.detail;
      answer.refuse(quarantineRefusal);
      return;
    }
    if (sentCount > 0 && !quarantine.mayRetry(request.traits, time.now())) {
      slot.release();
      break;
    }
    triedEngines.add(slot.engine);
    trace.attempts += 1;
    trace.upstreams.push(slot.engine);
    if (progress.events > 0) {
      log.write('streamContinued', {
        request: request.id,
        upstream: slot.engine,
        lastEventId: progress.lastEventId,
      });
    }
    const eventsBefore = progress.events;
    const result = await attemptAt(slot);
    if (result.kind === 'complete') {
      upstreams.recordVerdict(slot.engine, 'answered', time.now());
      quarantine.recordCompletion(request.traits, time.now());
      answer.finish();
      return;
    }
    if (result.kind === 'whole') {
      upstreams.recordVerdict(
        slot.engine,
        result.status >= 500 ? 'failed' : 'answered',
        time.now(),
      );
      if (answer.headersSent) break;
      if (result.status < 500 || !route.resumable || sentCount + 1 >= route.attempts) {
        answer.sendBuffered(result.status, result.rawHeaders, result.body);
        return;
      }
      sentCount += 1;
      mayHaveRun = true;
      continue;
    }
    if (signal.aborted) return;
    upstreams.recordVerdict(slot.engine, result.verdict, time.now());
    lastReason = result.reason;
    log.write('attemptEnded', {
      request: request.id,
      upstream: slot.engine,
      outcome: result.kind,
      verdict: result.verdict,
      sent: result.kind === 'broken' || result.sent,
      reason: result.reason,
      events: progress.events,
      content: request.traits.content,
      parts: caller.sharedParts.join(','),
      sentMilliseconds: Math.round(time.now() - now),
    });
    if (result.kind === 'broken') {
      mayHaveRun = true;
      sentCount += 1;
      if (result.verdict === 'broken') {
        lossCount += 1;
        const hasWritten = progress.events - eventsBefore >= SOUND_RUN_EVENTS;
        const { content, parts } = request.traits;
        quarantine.recordConnectionLoss({ content, parts: hasWritten ? [] : parts }, slot.engine);
      }
    } else if (result.sent) sentCount += 1;
  }
  if (signal.aborted || answer.state !== 'open') return;
  trace.cause = lastReason;
  if (answer.headersSent) {
    answer.destroyConnection();
    return;
  }
  if (restMilliseconds !== null && !mayHaveRun) {
    const refusal = restingRefusal(restMilliseconds);
    trace.cause = refusal.detail;
    answer.refuse(refusal);
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
