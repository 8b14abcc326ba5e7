import { boolean as booleanFlag } from '@oclif/core/flags';
import { RemoteCommand } from '../remoteCommand.js';

/** Prints the state of a fleet. */
export class Status extends RemoteCommand {
  static override summary = 'Show revisions, groups, live upstreams and cut-off data centres.';

  static override flags = {
    agents: booleanFlag({ description: 'also ask every agent for its revision' }),
  };

  async run(): Promise<unknown> {
    const { flags } = await this.parse(Status);
    const targets = await this.resolveTargets(
      flags,
      flags.control === undefined ? 'entries' : 'control',
    );
    const { allTargets } = await import('../operatorTarget.js');
    const { createUnreachableError, createOperatorClient } = await import('../operatorClient.js');
    const { agentTargets, latestAnnouncements } = await import('../upstreamAnnouncements.js');
    const { buildFleetStatus } = await import('../fleetStatus.js');
    const { fleetStatusLines } = await import('../fleetStatusText.js');
    await using client = createOperatorClient();
    const [directories, listedStatuses] = await Promise.all([
      client.callAll(targets.entries, 'membership.list', {}),
      client.callAll(allTargets(targets), 'process.status', {}),
    ]);
    const agents = flags.agents ? agentTargets(latestAnnouncements(directories)) : [];
    const statuses = [...listedStatuses, ...(await client.callAll(agents, 'process.status', {}))];
    if (statuses.every((answer) => answer.kind === 'failed'))
      throw createUnreachableError(statuses);
    const status = buildFleetStatus(statuses, directories);
    for (const line of fleetStatusLines(status)) this.log(line);
    return status;
  }
}
