import { setMaxListeners } from 'node:events';
import { copyCommonChunks, type RolloutJob, type RolloutParts } from './weightsFetch.js';
import { createRolloutMembers } from './weightsMembers.js';
import { createRolloutSession } from './weightsSession.js';
import { verifyArriving } from './weightsVerifier.js';

/**
 * Brings a version to the engine's staging and verifies it there as a whole.
 *
 * @remarks
 * Rejects when the engine fails or the manifest proves wrong; sources that fail are replaced by
 * others without end, until the signal aborts.
 */
export async function runRollout(parts: RolloutParts, job: RolloutJob): Promise<void> {
  const { manifest, target } = job;
  const stopped = new AbortController();
  const signal = AbortSignal.any([job.signal, stopped.signal]);
  // Every fetch and watch in progress listens to it.
  setMaxListeners(0, signal);
  const runJob: RolloutJob = { ...job, signal };
  await copyCommonChunks(parts, runJob);
  const members = createRolloutMembers(parts.context, target, manifest.digest);
  const layout = await members.first(signal);
  await using session = createRolloutSession(parts, runJob, members, layout);
  session.start();
  try {
    const verified = verifyArriving(parts.engine, parts.store, manifest, signal, session.lose);
    await Promise.race([verified, session.failed]);
  } finally {
    stopped.abort();
  }
}
