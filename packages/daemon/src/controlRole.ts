import type { DaemonRoleFactory } from './daemonRole.js';

/** Creates the role `control`. */
export const createControlRole: DaemonRoleFactory = () => ({
  handlers: {},
  start: async () => Promise.resolve(),
  drain: async () => Promise.resolve(),
  groups: [],
  [Symbol.asyncDispose]: async () => Promise.resolve(),
});
