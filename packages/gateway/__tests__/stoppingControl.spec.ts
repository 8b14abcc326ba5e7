import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer, type AddressInfo } from 'node:net';
import { describe, it } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import { createDisposalStack } from '@burdockrail/common/disposalStack.js';
import { success } from '@burdockrail/common/outcome.js';
import type { ControlDirectory } from '../src/controlDirectory.js';
import { startControlServer } from '../src/controlServer.js';
import type { GatewayContext } from '../src/gatewayContext.js';
import type { LeaderClient } from '../src/leaderClient.js';
import { createMachineShares } from '../src/machineShares.js';

const HOST = '127.0.0.1';

/** Time for bytes to arrive at a server of this process, in milliseconds. */
const ARRIVAL_MILLISECONDS = 100;

/** Time of an operation that finds its leader late, less than its timeout, in milliseconds. */
const LATE_OPERATION_MILLISECONDS = 700;

const order = 'POST /name HTTP/1.1\r\nhost: control\r\ncontent-length: 2\r\n\r\n{}';

/** Starts a control server whose orders take long, and connects an operator. */
async function startControl(disposables: ReturnType<typeof createDisposalStack>) {
  const listener = createServer().listen(0, HOST);
  await once(listener, 'listening');
  const { port } = listener.address() as AddressInfo;
  listener.close();
  await once(listener, 'close');
  const ignore = (): void => undefined;
  const context = {
    dialect: {
      controlCall: () => ({ kind: 'nameWeights' }),
      decodeModelVersion: () => ({ model: 'm', version: 1 }),
      errorBody: () => '',
    },
    log: { write: ignore },
    metrics: { count: ignore },
    time: { now: () => performance.now() },
    shares: createMachineShares(
      { memoryMegabytes: 346, descriptors: 4_096 },
      { now: () => performance.now() },
    ),
  } as unknown as GatewayContext;
  let orders = 0;
  const leaderClient = {
    propose: async () => {
      orders += 1;
      await pause(LATE_OPERATION_MILLISECONDS);
      return success({});
    },
  } as unknown as LeaderClient;
  const server = disposables.use(
    await startControlServer(
      context,
      {
        listen: { host: HOST, port },
        internal: { host: HOST, port },
        dataFolder: '',
        catchUpMilliseconds: 4_000,
      },
      {} as ControlDirectory,
      leaderClient,
    ),
  );
  const operator = connect({ host: HOST, port });
  disposables.defer(() => {
    operator.destroy();
  });
  let received = '';
  operator.on('error', ignore);
  operator.on('data', (bytes) => {
    received += bytes.toString();
  });
  return {
    server,
    operator,
    closed: once(operator, 'close'),
    received: () => received,
    orders: () => orders,
  };
}

describe('an order at a control process that stops', () => {
  it('is answered although it takes long', async () => {
    await using disposables = createDisposalStack();
    const { server, operator, closed, received } = await startControl(disposables);
    operator.write(order);
    await pause(ARRIVAL_MILLISECONDS);
    await server[Symbol.asyncDispose]();
    await closed;
    assert.match(received(), /^HTTP\/1\.1 200 /u);
  });

  it('is answered before its connection is closed if it comes behind another', async () => {
    await using disposables = createDisposalStack();
    const { server, operator, closed, received, orders } = await startControl(disposables);
    operator.write(order + order);
    await pause(ARRIVAL_MILLISECONDS);
    await server[Symbol.asyncDispose]();
    await closed;
    assert.equal(received().match(/HTTP\/1\.1 200 /gu)?.length, orders());
  });
});
