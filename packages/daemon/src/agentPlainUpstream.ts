import type { AgentUpstreamFactory } from './agentUpstream.js';

/** Time between two checks that a plain service accepts connections, in milliseconds. */
const CHECK_INTERVAL_MILLISECONDS = 400;

/** Creates the upstream of an agent that stands before a plain service. */
export const createPlainUpstream: AgentUpstreamFactory = ({ attempts, changed }) => {
  let isReachable = false;
  let isStopped = false;
  let timer: NodeJS.Timeout | undefined;

  const check = async (): Promise<void> => {
    const before = isReachable;
    isReachable = await attempts.isReachable();
    if (isStopped) return;
    if (before !== isReachable) changed();
    timer = setTimeout(() => void check(), CHECK_INTERVAL_MILLISECONDS);
  };

  return {
    handlers: {},
    get presence() {
      return { ready: isReachable, prefixes: [] };
    },
    servedDigest: undefined,
    allowsDigest: () => true,
    start: check,
    [Symbol.asyncDispose]: async () => {
      isStopped = true;
      clearTimeout(timer);
      return Promise.resolve();
    },
  };
};
