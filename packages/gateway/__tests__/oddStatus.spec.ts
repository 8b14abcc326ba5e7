import assert from 'node:assert/strict';
import { once } from 'node:events';
import { request as sendRequest, type IncomingMessage } from 'node:http';
import { describe, it } from 'node:test';
import { createDisposalStack } from '@burdockrail/common/disposalStack.js';
import { createUpstreamConnections } from '../src/upstreamConnections.js';
import { createEntryContext, createOpenSlots } from './entryContextFixture.js';
import { startAtFreePort } from './entryRequestFixture.js';
import { startRawUpstream } from './rawUpstream.js';
import { paths } from './stoppingEntryFixture.js';

const HOST = '127.0.0.1';
const ODD_STATUSES = ['000', '001', '099', '150', '199', '600', '999'];

describe('an answer whose status HTTP does not define', { timeout: 60_000 }, () => {
  for (const [kind, path] of Object.entries(paths))
    // Callers got 600 and 999 as answers.
    it(`is not passed on (${kind})`, async () => {
      await using disposables = createDisposalStack();
      const upstream = disposables.use(
        await startRawUpstream(({ socket, text }) => {
          const id = /x-request: (\S+)/iu.exec(text)?.[1] ?? '';
          const head = `HTTP/1.1 ${id} Odd\r\nx-request: ${id}\r\nx-signed: yes\r\n`;
          socket.end(`${head}content-length: 2\r\n\r\nok`);
        }),
      );
      const connections = disposables.use(createUpstreamConnections(HOST));
      const entry = createEntryContext(connections, `${HOST}:${upstream.port}`);
      const slots = createOpenSlots(upstream.port);
      const { port } = await startAtFreePort(disposables, entry, slots);
      for (const status of ODD_STATUSES) {
        const headers = { host: 'a.example', 'x-request': status };
        const outgoing = sendRequest({ host: HOST, port, path, headers, agent: false });
        outgoing.end();
        const [response] = (await once(outgoing, 'response')) as [IncomingMessage];
        response.resume();
        assert.equal(response.statusCode, 502, status);
      }
    });
});
