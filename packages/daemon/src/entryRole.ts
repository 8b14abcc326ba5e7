import type { DaemonRoleFactory } from './daemonRole.js';

/** Creates the role `entry`. */
export const createEntryRole: DaemonRoleFactory = () => ({
  handlers: {},
  start: async () => Promise.resolve(),
  drain: async () => Promise.resolve(),
  groups: [],
  [Symbol.asyncDispose]: async () => Promise.resolve(),
});
