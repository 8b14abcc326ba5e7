import { setTimeout } from 'node:timers/promises';
import { ResultError } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { Milliseconds, TimeSource } from '@burdockrail/common/timeSource.js';
import { readConfigurationInForce } from './configurationInForce.js';
import type { OperatorClient } from './operatorClient.js';
import type { OperatorTargets } from './operatorTarget.js';
import { computeRolloutProgress, type RolloutProgress } from './rolloutProgress.js';
import { latestAnnouncements, readDirectories } from './upstreamAnnouncements.js';

/** Interval at which the progress is read. */
const POLL_INTERVAL_MILLISECONDS = 500;

/** Progress of a rollout at one time. */
export interface RolloutReading extends RolloutProgress {
  readonly revision: number;
  /** Time since the watch started, in seconds. */
  readonly seconds: number;
  /** True if the rollout is incomplete and made no progress for `stallMilliseconds`. */
  readonly stalled: boolean;
}

/** Options of {@link watchRollout}. */
export interface RolloutWatchOptions {
  readonly client: OperatorClient;
  readonly targets: OperatorTargets;
  readonly time: TimeSource;
  /** Time after which the watch ends with an error. */
  readonly timeoutMilliseconds: Milliseconds;
  /** Time without progress after which a rollout counts as stalled. */
  readonly stallMilliseconds: Milliseconds;
}

/**
 * Reads a rollout's progress until every expected upstream is live.
 *
 * @remarks
 * Yields a reading when the revision or the progress changes, and again after each stall interval
 * without a change. Throws `WeightsIncomplete` when the timeout expires, and `GroupNotFormed` if no
 * configuration is in force.
 */
export async function* watchRollout(
  options: RolloutWatchOptions,
): AsyncGenerator<RolloutReading, void, undefined> {
  const { client, targets, time } = options;
  const startedAt = time.now();
  let lastState = '';
  let changedAt = startedAt;
  for (;;) {
    const { revision, progress } = await readRollout(client, targets);
    const now = time.now();
    const state = JSON.stringify({ revision, progress });
    if (state !== lastState) changedAt = now;
    const stalled = !progress.done && now - changedAt >= options.stallMilliseconds;
    if (state !== lastState || stalled) {
      yield { ...progress, revision, seconds: (now - startedAt) / 1_000, stalled };
    }
    if (progress.done) return;
    if (stalled) changedAt = now;
    lastState = state;
    if (now - startedAt >= options.timeoutMilliseconds) throw createIncompleteError(progress);
    await setTimeout(POLL_INTERVAL_MILLISECONDS);
  }
}

async function readRollout(
  client: OperatorClient,
  targets: OperatorTargets,
): Promise<{ readonly revision: number; readonly progress: RolloutProgress }> {
  const configuration = await readConfigurationInForce(client, targets.control);
  if (configuration === null) {
    throw new ResultError(ResultCode.GroupNotFormed, 'no configuration is in force');
  }
  const directories = await readDirectories(client, targets.entries);
  const progress = computeRolloutProgress(configuration.fleet, latestAnnouncements(directories));
  return { revision: configuration.revision, progress };
}

function createIncompleteError(progress: RolloutProgress): ResultError {
  const missing = progress.services.flatMap(({ service, dataCentres }) =>
    dataCentres
      .filter(({ live, expected }) => live < expected)
      .map(
        ({ dataCentre, live, expected }) => `${service} in ${dataCentre} ${live} of ${expected}`,
      ),
  );
  return new ResultError(
    ResultCode.WeightsIncomplete,
    `not live before the timeout: ${missing.join(', ')}`,
  );
}
