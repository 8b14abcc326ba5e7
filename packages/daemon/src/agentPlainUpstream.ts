import type { AgentUpstreamFactory } from './agentUpstream.js';

/** Interval of the checks that a plain service accepts connections, in milliseconds. */
const POLL_INTERVAL_MILLISECONDS = 400;

/** Creates the upstream of an agent for a plain service. */
export const createPlainUpstream: AgentUpstreamFactory = ({
  attemptUpstream: attempts,
  onChanged: changed,
}) => {
  let isReachable = false;
  let isStopped = false;
  let restarts = 0;
  let timer: NodeJS.Timeout | undefined;

  const poll = async (): Promise<void> => {
    const wasReachable = isReachable;
    isReachable = await attempts.isReachable();
    if (isStopped) return;
    if (wasReachable && !isReachable) restarts += 1;
    if (wasReachable !== isReachable) changed();
    timer = setTimeout(() => void poll(), POLL_INTERVAL_MILLISECONDS);
  };

  return {
    handlers: {},
    get announcement() {
      return { ready: isReachable, prefixes: [] };
    },
    get restarts() {
      return restarts;
    },
    servedDigest: undefined,
    allowsDigest: () => true,
    start: poll,
    [Symbol.asyncDispose]: async () => {
      isStopped = true;
      clearTimeout(timer);
      return Promise.resolve();
    },
  };
};
