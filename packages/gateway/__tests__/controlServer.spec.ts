import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
import { describe, it } from 'node:test';
import { createDisposalStack } from '@burdockrail/common/disposalStack.js';
import { startControlServer } from '../src/controlServer.js';
import type { GatewayContext } from '../src/gatewayContext.js';
import type { ControlSettings } from '../src/gatewaySettings.js';

const HOST = '127.0.0.1';

/** Longest body that the control server takes, in bytes. */
const MAXIMUM_BODY_BYTES = 16 * 1024 * 1024;

describe('the control server', { timeout: 20_000 }, () => {
  it('refuses an order with too long a body, instead of ending its connection', async () => {
    await using disposables = createDisposalStack();
    const listener = createServer().listen(0, HOST);
    await once(listener, 'listening');
    const { port } = listener.address() as AddressInfo;
    listener.close();
    await once(listener, 'close');
    const context = {
      dialect: {
        controlCall: () => ({ kind: 'putConfiguration' }),
        errorBody: (code: number, text: string) => `${code} ${text}`,
      },
      log: { write: () => undefined },
      metrics: { count: () => undefined },
      time: { now: () => performance.now() },
    } as unknown as GatewayContext;
    const settings = { listen: { host: HOST, port } } as unknown as ControlSettings;
    disposables.use(await startControlServer(context, settings, {} as never, {} as never));
    const response = await fetch(`http://${HOST}:${port}/config`, {
      method: 'PUT',
      body: 'x'.repeat(MAXIMUM_BODY_BYTES + 1),
    });
    assert.equal(response.status, 413);
  });
});
