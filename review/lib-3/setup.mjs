import { NotRun } from './caseRun.mjs';
import { startDeployment } from './deployment.mjs';
import { configuration, putConfiguration } from './operator.mjs';
import { startOrigin } from './origin.mjs';
import { startRunner } from './runner.mjs';
import { waitUntilServed } from './requester.mjs';

/**
 * Starts a small deployment with its runners and waits until every entry serves the given kinds.
 *
 * @param options.runners - number of sound plain runners of the service `till`.
 * @param options.startOther - starts one more runner, given its address and the control processes.
 */
export async function startServing({
  defer,
  record,
  entries = 2,
  engines = 0,
  runners = 0,
  kinds,
  onArrival,
  plainType,
  plainAttempts,
  startOther,
}) {
  const deployment = await startDeployment({ entries, engines });
  defer(deployment.close);
  const { controls, hostOf, ports, engineHosts } = deployment;
  const origin = await startOrigin(hostOf(61), ports.origin);
  defer(origin.close);
  const started = new Map();
  const startPlain = async (index, more = {}) => {
    const runner = await startRunner({
      id: `i-plain-${index + 1}`,
      service: 'till',
      host: hostOf(41 + index),
      port: ports.runner,
      controls,
      onArrival,
      ...more,
    });
    started.set(runner.id, runner);
    return runner;
  };
  defer(async () => {
    await Promise.all([...started.values()].map(async (runner) => runner.crash()));
  });
  for (const [index, host] of engineHosts.entries()) {
    const id = `i-engine-${index + 1}`;
    started.set(
      id,
      await startRunner({
        id,
        service: 'engines',
        host,
        port: ports.runner,
        controls,
        isEngine: true,
        onArrival,
      }),
    );
  }
  for (let index = 0; index < runners; index += 1) await startPlain(index);
  if (startOther !== undefined) {
    const other = await startOther({ host: hostOf(51), port: ports.runner, controls });
    started.set(other.id, other);
  }
  const content = configuration({
    version: 1,
    originAddress: `${hostOf(61)}:${ports.origin}`,
    plainType,
    plainAttempts,
  });
  if (!(await putConfiguration(controls, content))) throw new NotRun('no configuration was taken');
  record('the configuration is acknowledged');
  if (!(await waitUntilServed({ fronts: deployment.fronts, kinds })))
    throw new NotRun('the deployment does not serve');
  record('all entries serve');
  return { deployment, runners: started, startPlain };
}
