import { setTimeout } from 'node:timers/promises';
import { ResultError } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { Milliseconds, TimeSource } from '@burdockrail/common/timeSource.js';
import type { OperatorClient } from './operatorClient.js';
import { allTargets, type OperatorTarget, type OperatorTargets } from './operatorTarget.js';
import { agentTargets, latestAnnouncements } from './upstreamAnnouncements.js';

/** Time between two rounds of questions, in milliseconds. */
const ROUND_PAUSE_MILLISECONDS = 100;

/** Names of processes that an error lists. */
const NAMES_SHOWN = 5;

/** Bound of {@link waitForRevision}. */
export interface RevisionWaitOptions {
  readonly time: TimeSource;
  readonly timeoutMilliseconds: Milliseconds;
}

/** How long a revision took to be in force everywhere. */
export interface RevisionWait {
  readonly processes: number;
  readonly seconds: number;
}

/**
 * Waits until every listed process and every agent that entries know has a revision in force.
 *
 * @remarks
 * Only those that are behind are asked again. Rejects with `CallTimedOut` and the names of those
 * that are behind when the time is over; the revision stays accepted all the same.
 */
export async function waitForRevision(
  client: OperatorClient,
  targets: OperatorTargets,
  revision: number,
  { time, timeoutMilliseconds }: RevisionWaitOptions,
): Promise<RevisionWait> {
  const startedAt = time.now();
  const directories = await client.callAll(targets.entries, 'membership.list', {});
  const all = [...allTargets(targets), ...agentTargets(latestAnnouncements(directories))];
  let behind: readonly OperatorTarget[] = all;
  for (;;) {
    const answers = await client.callAll(behind, 'process.status', {});
    behind = answers
      .filter((answer) => answer.kind === 'failed' || answer.reply.revision < revision)
      .map((answer) => answer.target);
    const elapsed = time.now() - startedAt;
    if (behind.length === 0) return { processes: all.length, seconds: elapsed / 1_000 };
    if (elapsed >= timeoutMilliseconds) throw stillBehind(revision, behind, all.length);
    await setTimeout(ROUND_PAUSE_MILLISECONDS);
  }
}

function stillBehind(
  revision: number,
  behind: readonly OperatorTarget[],
  total: number,
): ResultError {
  const names = behind.slice(0, NAMES_SHOWN).map((target) => target.name);
  const more = behind.length > NAMES_SHOWN ? ', ...' : '';
  const detail = `revision ${revision} is accepted, but ${behind.length} of ${total} processes do not have it yet: ${names.join(', ')}${more}`;
  return new ResultError(ResultCode.CallTimedOut, detail);
}
