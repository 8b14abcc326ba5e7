import { fork, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import { createFaultProxy, type FaultProxy, type FaultProxyDescription } from './faultProxy.js';
import type { LinkCounts } from './linkCounts.js';
import type { LinkRule, MachineSelector } from './linkRule.js';

/** Order to a proxy in a process of its own. */
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

const program = fileURLToPath(new URL('../../bin/faultproxy.js', import.meta.url));

async function carryOut(proxy: FaultProxy, order: ProxyOrder): Promise<void> {
  if (order.kind === 'rules') await proxy.setRules(order.rules);
  if (order.kind === 'reset') await proxy.resetConnections(order.from, order.to);
}

/** Runs a proxy for the parent process that sends its description and orders. */
export async function runFaultProxyProcess(): Promise<void> {
  const [description] = (await once(process, 'message')) as [FaultProxyDescription];
  await using proxy = await createFaultProxy(description);
  process.on('message', ({ number, order }: NumberedOrder) => {
    void carryOut(proxy, order)
      .then(async () => proxy.counts())
      .then((counts) => process.send?.({ number, counts }));
  });
  process.send?.('ready');
  await once(process, 'disconnect');
}

/** Starts a proxy in a process of its own; `own` has the process end with the caller's. */
export async function startFaultProxyProcess(
  description: FaultProxyDescription,
  own: (child: ChildProcess) => void,
): Promise<FaultProxy> {
  const child = fork(program, { stdio: ['ignore', 'ignore', 'inherit', 'ipc'] });
  own(child);
  child.send(description);
  await once(child, 'message');
  const waiting = new Map<number, (counts: LinkCounts) => void>();
  let lastNumber = 0;
  child.on('message', ({ number, counts }: NumberedReply) => {
    waiting.get(number)?.(counts);
    waiting.delete(number);
  });
  const order = async (wanted: ProxyOrder): Promise<LinkCounts> => {
    lastNumber += 1;
    const number = lastNumber;
    return new Promise((resolve) => {
      waiting.set(number, resolve);
      child.send({ number, order: wanted });
    });
  };
  return {
    setRules: async (rules) => {
      await order({ kind: 'rules', rules });
    },
    resetConnections: async (from, to) => {
      await order({ kind: 'reset', from, to });
    },
    counts: async () => order({ kind: 'counts' }),
    [Symbol.asyncDispose]: async () => {
      const exited = once(child, 'exit');
      child.kill('SIGKILL');
      await exited;
    },
  };
}
