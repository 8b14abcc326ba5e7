import { ResultError } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { checkFleetDocument } from '@burdockrail/fleet/fleetChecks.js';
import type {
  FleetApplyResult,
  FleetCommand,
  FleetQuery,
} from '@burdockrail/fleet/fleetRegister.js';
import type { CommittedConfiguration } from '@burdockrail/protocol/protocolConfiguration.js';
import type { DaemonRoleFactory } from './daemonRole.js';
import { createGroupClient } from './groupClient.js';
import { createClusterFormation } from './clusterFormation.js';
import { FLEET_GROUP } from './groupName.js';

/** Timeout of an operator's command or query, in milliseconds. */
const FLEET_TIMEOUT_MILLISECONDS = 6_000;

function rejectInvalidDocument(document: string): void {
  const check = checkFleetDocument(document);
  if (check.kind === 'valid') return;
  const issues = check.issues.map((issue) => `${issue.path}: expected ${issue.expected}`);
  throw new ResultError(ResultCode.FleetInvalid, issues.join('; '));
}

/** Creates the role `control`, which serves operators' commands and queries to the fleet group. */
export const createControlRole: DaemonRoleFactory = (context) => {
  const groups = createGroupClient(context);
  const formCluster = createClusterFormation(context, groups);
  return {
    handlers: {
      calls: {
        'cluster.form': formCluster,
        'configuration.apply': async ({ orderId, expectedRevision, document }) => {
          rejectInvalidDocument(document);
          const command: FleetCommand = { kind: 'apply', orderId, expectedRevision, document };
          const result = await groups.propose(FLEET_GROUP, command, FLEET_TIMEOUT_MILLISECONDS);
          return result as FleetApplyResult;
        },
        'configuration.current': async () => {
          const query: FleetQuery = { kind: 'current' };
          const answer = await groups.query(FLEET_GROUP, query, FLEET_TIMEOUT_MILLISECONDS);
          return answer as CommittedConfiguration | null;
        },
      },
    },
    start: async () => Promise.resolve(),
    drain: async () => Promise.resolve(),
    groups: [],
    [Symbol.asyncDispose]: async () => Promise.resolve(),
  };
};
