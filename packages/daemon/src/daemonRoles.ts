import type { Role } from '@burdockrail/protocol/protocolAddress.js';
import { createAgentRole } from './agentRole.js';
import { createControlRole } from './controlRole.js';
import type { DaemonRoleFactory } from './daemonRole.js';
import { createEntryRole } from './entryRole.js';

/** Factory of each role. */
export const daemonRoles: Readonly<Record<Role, DaemonRoleFactory>> = {
  entry: createEntryRole,
  control: createControlRole,
  agent: createAgentRole,
};
