import { setTimeout } from 'node:timers/promises';
import { ResultError } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { Milliseconds, TimeSource } from '@burdockrail/common/timeSource.js';
import type { OperatorClient } from './operatorClient.js';
import { allTargets, type OperatorTarget, type OperatorTargets } from './operatorTarget.js';
import { agentTargets, latestAnnouncements } from './upstreamAnnouncements.js';

/** Interval at which processes are asked for their revision. */
const POLL_INTERVAL_MILLISECONDS = 100;

/** Maximum number of process names in an error message. */
const MAXIMUM_LISTED_NAMES = 5;

/** Options of {@link waitForRevision}. */
export interface RevisionWaitOptions {
  readonly time: TimeSource;
  readonly timeoutMilliseconds: Milliseconds;
}

/** Number of processes that have the revision in force, and the time until all of them had it. */
export interface RevisionWaitResult {
  readonly processes: number;
  readonly seconds: number;
}

/**
 * Waits until every listed process and every agent that entries know has a revision in force.
 *
 * @remarks
 * Only processes that are behind are asked again. Rejects with `CallTimedOut` and the names of the
 * processes that are behind when the timeout expires; the revision stays accepted nevertheless.
 */
export async function waitForRevision(
  client: OperatorClient,
  targets: OperatorTargets,
  revision: number,
  { time, timeoutMilliseconds }: RevisionWaitOptions,
): Promise<RevisionWaitResult> {
  const startedAt = time.now();
  const directories = await client.callAll(targets.entries, 'membership.list', {});
  const processes = [...allTargets(targets), ...agentTargets(latestAnnouncements(directories))];
  let staleTargets: readonly OperatorTarget[] = processes;
  for (;;) {
    const answers = await client.callAll(staleTargets, 'process.status', {});
    staleTargets = answers
      .filter((answer) => answer.kind === 'failed' || answer.reply.revision < revision)
      .map((answer) => answer.target);
    const elapsed = time.now() - startedAt;
    if (staleTargets.length === 0) return { processes: processes.length, seconds: elapsed / 1_000 };
    if (elapsed >= timeoutMilliseconds)
      throw createTimeoutError(revision, staleTargets, processes.length);
    await setTimeout(POLL_INTERVAL_MILLISECONDS);
  }
}

function createTimeoutError(
  revision: number,
  staleTargets: readonly OperatorTarget[],
  total: number,
): ResultError {
  const names = staleTargets.slice(0, MAXIMUM_LISTED_NAMES).map((target) => target.name);
  const ellipsis = staleTargets.length > MAXIMUM_LISTED_NAMES ? ', ...' : '';
  const detail = `revision ${revision} is accepted, but ${staleTargets.length} of ${total} processes do not have it yet: ${names.join(', ')}${ellipsis}`;
  return new ResultError(ResultCode.CallTimedOut, detail);
}
