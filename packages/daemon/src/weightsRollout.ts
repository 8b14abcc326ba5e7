import { setMaxListeners } from 'node:events';
import { copyCommonChunks, type RolloutJob, type RolloutDependencies } from './weightsFetch.js';
import { createRolloutMembers } from './weightsMembers.js';
import { createRolloutSession } from './weightsSession.js';
import { verifyStagedVersion } from './weightsVerifier.js';

/**
 * Transfers a version to the engine's staging area and verifies all of it there.
 *
 * @remarks
 * Rejects if the engine fails or the manifest is wrong. Failed fetches are retried from other
 * sources until the signal aborts.
 */
export async function runRollout(
  dependencies: RolloutDependencies,
  job: RolloutJob,
): Promise<void> {
  const { manifest, target } = job;
  const rolloutAbort = new AbortController();
  const signal = AbortSignal.any([job.signal, rolloutAbort.signal]);
  // Every fetch and watch in progress adds a listener, which may exceed the default limit.
  setMaxListeners(0, signal);
  const runJob: RolloutJob = { ...job, signal };
  await copyCommonChunks(dependencies, runJob);
  const members = createRolloutMembers(dependencies.context, target, manifest.digest);
  const layout = await members.fetchInitialLayout(signal);
  await using session = createRolloutSession(dependencies, runJob, members, layout);
  session.start();
  try {
    const verified = verifyStagedVersion(
      dependencies.engine,
      dependencies.store,
      manifest,
      signal,
      session.refetch,
    );
    await Promise.race([verified, session.failed]);
  } finally {
    rolloutAbort.abort();
  }
}
