import { boolean as switchFlag } from '@oclif/core/flags';
import { RemoteCommand } from '../remoteCommand.js';

/** Shows the state of a fleet. */
export class Status extends RemoteCommand {
  static override summary = 'Show revisions, groups, live upstreams and cut-off data centres.';

  static override flags = {
    agents: switchFlag({ description: 'also ask every agent for its revision' }),
  };

  async run(): Promise<unknown> {
    const { flags } = await this.parse(Status);
    const targets = await this.targets(flags, flags.control === undefined ? 'entries' : 'control');
    const { allTargets } = await import('../operatorTarget.js');
    const { allFailed, createOperatorClient } = await import('../operatorClient.js');
    const { agentTargets, latestAnnouncements } = await import('../upstreamAnnouncements.js');
    const { fleetStatus } = await import('../fleetStatus.js');
    const { fleetStatusLines } = await import('../fleetStatusText.js');
    await using client = createOperatorClient();
    const [directories, listed] = await Promise.all([
      client.callAll(targets.entries, 'membership.list', {}),
      client.callAll(allTargets(targets), 'process.status', {}),
    ]);
    const agents = flags.agents ? agentTargets(latestAnnouncements(directories)) : [];
    const statuses = [...listed, ...(await client.callAll(agents, 'process.status', {}))];
    if (statuses.every((answer) => answer.kind === 'failed')) throw allFailed(statuses);
    const status = fleetStatus(statuses, directories);
    for (const line of fleetStatusLines(status)) this.log(line);
    return status;
  }
}
