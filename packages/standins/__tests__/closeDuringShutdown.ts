// A program of its own: closes a stand-in while it shuts down one of its connections, then ends.
import { connect } from 'node:net';
import { createStandinServer } from '../src/standinServer.js';

const server = await createStandinServer({ host: '127.0.0.1', port: 0 }, [
  {
    method: 'GET',
    pattern: /^\/$/u,
    handle: async ({ request }) => {
      request.socket.end();
      await server[Symbol.asyncDispose]();
    },
  },
]);
const { hostname, port } = new URL(server.url);
const client = connect({ host: hostname, port: Number(port) });
client.on('error', () => undefined);
client.write('GET / HTTP/1.1\r\nhost: standin\r\n\r\n');
