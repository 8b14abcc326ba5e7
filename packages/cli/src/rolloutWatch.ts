import { setTimeout } from 'node:timers/promises';
import { ResultError } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { Milliseconds, TimeSource } from '@burdockrail/common/timeSource.js';
import { readConfigurationInForce } from './configurationInForce.js';
import type { OperatorClient } from './operatorClient.js';
import type { OperatorTargets } from './operatorTarget.js';
import { rolloutProgress, type RolloutProgress } from './rolloutProgress.js';
import { latestAnnouncements, readDirectories } from './upstreamAnnouncements.js';

/** Time between two readings, in milliseconds. */
const READING_INTERVAL_MILLISECONDS = 500;

/** One reading of a rollout. */
export interface RolloutReading extends RolloutProgress {
  readonly revision: number;
  /** Time since the watch began. */
  readonly seconds: number;
  /** True when nothing moved for the given time and the rollout is not done. */
  readonly stalled: boolean;
}

/** Options of {@link watchRollout}. */
export interface RolloutWatchOptions {
  readonly client: OperatorClient;
  readonly targets: OperatorTargets;
  readonly time: TimeSource;
  /** Time after which the watch gives up. */
  readonly timeoutMilliseconds: Milliseconds;
  /** Time without any movement after which a rollout counts as stalled. */
  readonly stallMilliseconds: Milliseconds;
}

/**
 * Reads a rollout's progress until every expected upstream is live.
 *
 * @remarks
 * Yields a reading when something changed. Throws `WeightsIncomplete` when the time is over, and
 * `GroupNotFormed` when no configuration is in force.
 */
export async function* watchRollout(
  options: RolloutWatchOptions,
): AsyncGenerator<RolloutReading, void, undefined> {
  const { client, targets, time } = options;
  const startedAt = time.now();
  let last = '';
  let movedAt = startedAt;
  for (;;) {
    const { revision, progress } = await readRollout(client, targets);
    const now = time.now();
    const text = JSON.stringify({ revision, progress });
    if (text !== last) movedAt = now;
    const stalled = !progress.done && now - movedAt >= options.stallMilliseconds;
    if (text !== last || stalled) {
      yield { ...progress, revision, seconds: (now - startedAt) / 1_000, stalled };
    }
    if (progress.done) return;
    if (stalled) movedAt = now;
    last = text;
    if (now - startedAt >= options.timeoutMilliseconds) throw notDone(progress);
    await setTimeout(READING_INTERVAL_MILLISECONDS);
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
  const progress = rolloutProgress(configuration.fleet, latestAnnouncements(directories));
  return { revision: configuration.revision, progress };
}

function notDone(progress: RolloutProgress): ResultError {
  const places = progress.services.flatMap(({ service, dataCentres }) =>
    dataCentres
      .filter(({ live, expected }) => live < expected)
      .map(
        ({ dataCentre, live, expected }) => `${service} in ${dataCentre} ${live} of ${expected}`,
      ),
  );
  return new ResultError(ResultCode.WeightsIncomplete, `not live in time: ${places.join(', ')}`);
}
