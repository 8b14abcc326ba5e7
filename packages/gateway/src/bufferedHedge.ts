import type { Milliseconds, TimeSource } from '@burdockrail/common/timeSource.js';
import type { UpstreamRecord } from '@burdockrail/protocol/protocolDirectory.js';
import type { BufferedAttemptOutcome } from './attemptOutcome.js';
import type { SilenceOptions } from './bufferedAttempt.js';

/** An attempt at one upstream. */
export interface HedgedAttempt {
  readonly upstream: UpstreamRecord;
  readonly sentAt: Milliseconds;
  /** True if it has taken longer than an answer usually does. */
  readonly isSilent: boolean;
}

/** Options of {@link runHedged}. */
export interface HedgeOptions {
  readonly time: TimeSource;
  /** Time without an answer after which an upstream counts as silent, in milliseconds. */
  readonly silenceMilliseconds: Milliseconds;
  run(upstream: UpstreamRecord, silence: SilenceOptions): Promise<BufferedAttemptOutcome>;
  /** Chooses an upstream beside the attempts in progress; `null` if there is none or none may be. */
  chooseSuccessor(attemptsInProgress: number): UpstreamRecord | null;
  /** True for an outcome that is the answer to the caller. */
  decides(outcome: BufferedAttemptOutcome): boolean;
  /** An attempt ended, also with the deciding outcome. */
  ended(attempt: HedgedAttempt, outcome: BufferedAttemptOutcome): void;
  /** An attempt was given up, because another one has the answer. */
  givenUp(attempt: HedgedAttempt): void;
}

interface LiveAttempt extends HedgedAttempt {
  isSilent: boolean;
  readonly abandon: AbortController;
}

/**
 * Runs a request at one upstream and, while all that have it are silent, at a further one; the first
 * deciding outcome ends the other attempts.
 *
 * @returns the deciding outcome; `null` if all attempts ended without one.
 */
export async function runHedged(
  first: UpstreamRecord,
  options: HedgeOptions,
): Promise<BufferedAttemptOutcome | null> {
  const { time, silenceMilliseconds } = options;
  const live = new Set<LiveAttempt>();

  return new Promise((resolve, reject) => {
    const giveUpAll = (): void => {
      for (const attempt of [...live]) {
        live.delete(attempt);
        options.givenUp(attempt);
        attempt.abandon.abort();
      }
    };

    const settle = (attempt: LiveAttempt, outcome: BufferedAttemptOutcome): void => {
      if (!live.delete(attempt)) return;
      options.ended(attempt, outcome);
      if (options.decides(outcome)) {
        giveUpAll();
        resolve(outcome);
      } else if (live.size === 0) resolve(null);
    };

    const fail = (error: unknown): void => {
      giveUpAll();
      reject(error instanceof Error ? error : new Error(String(error)));
    };

    const handleSilence = (attempt: LiveAttempt): void => {
      attempt.isSilent = true;
      if (!live.has(attempt) || [...live].some(({ isSilent }) => !isSilent)) return;
      const successor = options.chooseSuccessor(live.size);
      if (successor !== null) launch(successor);
    };

    const launch = (upstream: UpstreamRecord): void => {
      const abandon = new AbortController();
      const attempt: LiveAttempt = { upstream, sentAt: time.now(), isSilent: false, abandon };
      live.add(attempt);
      const onSilent = (): void => {
        handleSilence(attempt);
      };
      options
        .run(upstream, { silenceMilliseconds, onSilent, abandoned: abandon.signal })
        .then((outcome) => {
          settle(attempt, outcome);
        })
        .catch(fail);
    };

    launch(first);
  });
}
