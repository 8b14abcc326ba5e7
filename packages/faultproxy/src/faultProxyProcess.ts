import { fork, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import { createFaultProxy, type FaultProxy, type FaultProxyDescription } from './faultProxy.js';
import type { LinkCounts } from './linkCounts.js';
import type { LinkRule, MachineSelector } from './linkRule.js';

/** Order of the parent process to the proxy process. */
type ProxyOrder =
  | { readonly kind: 'rules'; readonly rules: readonly LinkRule[] }
  | { readonly kind: 'reset'; readonly from: MachineSelector; readonly to: MachineSelector }
  | { readonly kind: 'counts' };

interface NumberedOrder {
  readonly number: number;
  readonly order: ProxyOrder;
}

interface NumberedReply {
  readonly number: number;
  readonly counts: LinkCounts;
}

const programPath = fileURLToPath(new URL('../../bin/faultproxy.js', import.meta.url));

async function executeOrder(proxy: FaultProxy, order: ProxyOrder): Promise<void> {
  if (order.kind === 'rules') await proxy.setRules(order.rules);
  if (order.kind === 'reset') await proxy.resetConnections(order.from, order.to);
}

/** Runs a proxy in this process; the parent process sends its description and orders. */
export async function runFaultProxyProcess(): Promise<void> {
  const [description] = (await once(process, 'message')) as [FaultProxyDescription];
  await using proxy = await createFaultProxy(description);
  process.on('message', ({ number, order }: NumberedOrder) => {
    void executeOrder(proxy, order)
      .then(async () => proxy.counts())
      .then((counts) => process.send?.({ number, counts }));
  });
  process.send?.('ready');
  await once(process, 'disconnect');
}

/**
 * Starts a proxy in a child process.
 *
 * @param registerChild - receives the child process, to end it together with this process.
 */
export async function startFaultProxyProcess(
  description: FaultProxyDescription,
  registerChild: (child: ChildProcess) => void,
): Promise<FaultProxy> {
  const child = fork(programPath, { stdio: ['ignore', 'ignore', 'inherit', 'ipc'] });
  registerChild(child);
  child.send(description);
  await once(child, 'message');
  const pendingReplies = new Map<number, (counts: LinkCounts) => void>();
  let lastNumber = 0;
  child.on('message', ({ number, counts }: NumberedReply) => {
    pendingReplies.get(number)?.(counts);
    pendingReplies.delete(number);
  });
  const sendOrder = async (order: ProxyOrder): Promise<LinkCounts> => {
    lastNumber += 1;
    const number = lastNumber;
    return new Promise((resolve) => {
      pendingReplies.set(number, resolve);
      child.send({ number, order });
    });
  };
  return {
    setRules: async (rules) => {
      await sendOrder({ kind: 'rules', rules });
    },
    resetConnections: async (from, to) => {
      await sendOrder({ kind: 'reset', from, to });
    },
    counts: async () => sendOrder({ kind: 'counts' }),
    [Symbol.asyncDispose]: async () => {
      const exited = once(child, 'exit');
      child.kill('SIGKILL');
      await exited;
    },
  };
}
