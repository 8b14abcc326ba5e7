import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { refusalRetryAfterMilliseconds } from '@burdockrail/limits/refusalRetryAfter.js';
import { streamSlackMilliseconds } from '@burdockrail/limits/streamSlack.js';
import type { AttemptVerdict } from '@burdockrail/routing/upstreamHealthTracker.js';
import type { EntryContext } from './entryContext.js';
import { refusalOfQuarantined } from './entryQuarantine.js';
import type { EntrySlots, GrantedSlot } from './entrySlots.js';
import type { EntryRequest } from './entryRequest.js';
import { createRequestRetries } from './requestRetries.js';
import { startStream, type RunningStream, type StreamObserver } from './streamAttempt.js';
import { runWithHandover, type EndedStream, type IncompleteStream } from './streamHandover.js';
import { createStreamProgress } from './streamProgress.js';
import { restingRefusal } from './upstreamRests.js';

/** Minimum remaining time for starting a stream, in milliseconds. */
const MINIMUM_ATTEMPT_MILLISECONDS = 50;

/** Queueing slack of a resumed stream, in milliseconds: the pause between events limits it. */
const RESUME_SLACK_MILLISECONDS = 600;

/** Additional attempts beyond the route's limit after engines were lost. */
const EXTRA_ATTEMPTS_AFTER_LOSS = 1;

/** Events after which an engine is unlikely to crash because of the request's prompt. */
const SOUND_RUN_EVENTS = 3;

const SERVER_ERROR_STATUS = 500;

/** What the log says of the end of an attempt. */
interface AttemptEnd {
  readonly outcome: 'broken' | 'notRun';
  readonly verdict: AttemptVerdict;
  readonly sent: boolean;
  readonly reason: string;
}

/** Attempts that have ended. */
interface AttemptTally {
  sent: number;
  /** Engines that were lost. */
  losses: number;
  mayHaveRun: boolean;
  lastReason: string;
}

/** Executes a request whose answer is an event stream; resumes it at another engine if possible. */
export async function runStream(
  entry: EntryContext,
  slots: EntrySlots,
  request: EntryRequest,
): Promise<void> {
  const { time, clusterView, upstreams, quarantine, log } = entry;
  const { admitted, answer, signal, trace } = request;
  const { route, service } = admitted;
  const triedEngines = new Set<string>();
  const sentAt = new Map<string, Milliseconds>();
  const progress = createStreamProgress(request, time);
  const retries = createRequestRetries(entry, request);
  const engine = clusterView.table?.service(service)?.engine ?? null;
  const attempts: AttemptTally = {
    sent: 0,
    losses: 0,
    mayHaveRun: false,
    lastReason: '',
  };
  let restMilliseconds: number | null = null;

  const isAborted = (): boolean => signal.aborted;

  /** True if another attempt may be made besides those that ended and the given number in progress. */
  const canAttempt = (inProgress: number): boolean => {
    if (signal.aborted || answer.state !== 'open') return false;
    if (attempts.mayHaveRun && !route.resumable) return false;
    if (progress.events > 0 && progress.lastEventId === null) return false;
    const attempted = attempts.sent + inProgress;
    if (attempted > 0 && !quarantine.mayRetry(request.traits, time.now())) return false;
    const limit = route.attempts + Math.min(attempts.losses, EXTRA_ATTEMPTS_AFTER_LOSS);
    return attempted < limit && admitted.deadline - time.now() > MINIMUM_ATTEMPT_MILLISECONDS;
  };

  const slack = (inProgress: number): number =>
    progress.events > 0 || attempts.sent + inProgress > 0
      ? RESUME_SLACK_MILLISECONDS
      : streamSlackMilliseconds({
          objectiveMilliseconds: route.objectiveMilliseconds,
          elapsedMilliseconds: request.elapsedMilliseconds + time.now() - request.arrivedAt,
          promptTokens: request.caller.promptTokens,
          readTokensPerSecond: engine?.readTokensPerSecond ?? 0,
        });

  const start = (slot: GrantedSlot, observer: StreamObserver): RunningStream => {
    triedEngines.add(slot.engine);
    sentAt.set(slot.engine, time.now());
    trace.attempts += 1;
    trace.upstreams.push(slot.engine);
    if (progress.events > 0) {
      log.write('streamContinued', {
        request: request.id,
        upstream: slot.engine,
        lastEventId: progress.lastEventId,
      });
    }
    upstreams.requestStarted(slot.engine);
    const running = startStream(entry, request, slot, progress.lastEventId, observer);
    void running.outcome.finally(() => {
      slot.release();
      upstreams.requestEnded(slot.engine);
    });
    return running;
  };

  const logEnd = (engine: string, end: AttemptEnd): void => {
    const now = time.now();
    attempts.lastReason = end.reason;
    log.write('attemptEnded', {
      request: request.id,
      upstream: engine,
      ...end,
      events: progress.events,
      content: request.traits.content,
      parts: request.caller.sharedParts.join(','),
      sentMilliseconds: Math.round(now - (sentAt.get(engine) ?? now)),
    });
  };

  /** Records a stream that ended without a complete answer. */
  const recordEnd = ({ slot: { engine }, outcome, events, wasSilent }: IncompleteStream): void => {
    if (signal.aborted) {
      // The entry closed the connection, which says nothing about the engine but its silence.
      if (wasSilent) upstreams.recordVerdict(engine, 'silent', time.now());
      return;
    }
    if (outcome.kind === 'whole') {
      const verdict = outcome.status >= SERVER_ERROR_STATUS ? 'failed' : 'answered';
      upstreams.recordVerdict(engine, verdict, time.now());
      attempts.lastReason = `engine answered with status ${outcome.status}`;
      attempts.sent += 1;
      attempts.mayHaveRun = true;
      return;
    }
    const { kind, verdict, reason } = outcome;
    const sent = kind === 'broken' || outcome.sent;
    upstreams.recordVerdict(engine, verdict, time.now());
    logEnd(engine, { outcome: kind, verdict, sent, reason });
    if (sent) attempts.sent += 1;
    if (kind !== 'broken') return;
    attempts.mayHaveRun = true;
    if (verdict !== 'broken') return;
    attempts.losses += 1;
    const { content, parts } = request.traits;
    const hasWritten = events >= SOUND_RUN_EVENTS;
    quarantine.recordConnectionLoss({ content, parts: hasWritten ? [] : parts }, engine);
  };

  /** Records a stream that was given up because another engine goes on with it. */
  const recordGivenUp = ({ slot: { engine }, wasSilent }: Omit<EndedStream, 'outcome'>): void => {
    attempts.sent += 1;
    attempts.mayHaveRun = true;
    if (!wasSilent) return;
    upstreams.recordVerdict(engine, 'silent', time.now());
    const reason = 'no event in time, another engine goes on';
    logEnd(engine, { outcome: 'broken', verdict: 'silent', sent: true, reason });
  };

  const claimSuccessor = async (): Promise<GrantedSlot | null> => {
    if (!canAttempt(1)) return null;
    const outcome = await slots.claim(request, triedEngines, slack(1));
    return outcome.kind === 'granted' ? outcome.slot : null;
  };

  while (canAttempt(0)) {
    if (!retries.take(attempts.sent)) break;
    const outcome = await slots.claim(request, triedEngines, slack(0));
    if (outcome.kind !== 'granted') {
      if (signal.aborted) return;
      if (outcome.kind === 'resting') restMilliseconds = outcome.restMilliseconds;
      if (attempts.sent > 0 || outcome.kind === 'resting') break;
      const isFull = outcome.kind === 'full';
      trace.cause = isFull ? `full, ${outcome.asked} engines asked` : 'no engine';
      answer.refuse({
        code: isFull ? ResultCode.Overloaded : ResultCode.NoUpstream,
        detail: trace.cause,
        retryAfterMilliseconds: refusalRetryAfterMilliseconds({
          freeInMilliseconds: isFull ? outcome.freeInMilliseconds : null,
          slackMilliseconds: slack(0),
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
    if (quarantineRefusal !== null && !attempts.mayHaveRun) {
      slot.release();
      trace.cause = quarantineRefusal.detail;
      answer.refuse(quarantineRefusal);
      return;
    }
    if (attempts.sent > 0 && !quarantine.mayRetry(request.traits, time.now())) {
      slot.release();
      break;
    }
    const ended = await runWithHandover(slot, {
      start,
      claimSuccessor,
      maySendAgain: () => canAttempt(1) && retries.take(attempts.sent + 1),
      isNew: (id) => progress.isNew(id),
      caller: progress.caller,
      ended: recordEnd,
      givenUp: recordGivenUp,
    });
    const { outcome: result } = ended;
    const { engine: endedEngine } = ended.slot;
    if (result.kind === 'complete') {
      upstreams.recordVerdict(endedEngine, 'answered', time.now());
      quarantine.recordCompletion(request.traits, time.now());
      answer.finish();
      return;
    }
    recordEnd({ ...ended, outcome: result });
    if (isAborted()) return;
    if (result.kind !== 'whole') continue;
    if (answer.headersSent) break;
    if (
      result.status < SERVER_ERROR_STATUS ||
      !route.resumable ||
      attempts.sent >= route.attempts
    ) {
      answer.sendBuffered(result.status, result.rawHeaders, result.body);
      return;
    }
  }
  if (signal.aborted || answer.state !== 'open') return;
  trace.cause = attempts.lastReason;
  if (answer.headersSent) {
    answer.destroyConnection();
    return;
  }
  if (restMilliseconds !== null && !attempts.mayHaveRun) {
    const refusal = restingRefusal(restMilliseconds);
    trace.cause = refusal.detail;
    answer.refuse(refusal);
    return;
  }
  answer.refuse(
    attempts.mayHaveRun
      ? {
          code: ResultCode.UpstreamFailed,
          detail: attempts.lastReason,
          retryAfterMilliseconds: null,
        }
      : {
          code: ResultCode.Overloaded,
          detail: attempts.lastReason,
          retryAfterMilliseconds: refusalRetryAfterMilliseconds({
            freeInMilliseconds: 0,
            slackMilliseconds: slack(0),
          }),
        },
  );
}
