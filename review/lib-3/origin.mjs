import { createHash } from 'node:crypto';
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';

const CHUNKS = 96;
const CHUNK_BYTES = 24_576;
const LAYERS = 16;

function piece(version, index) {
  return Buffer.alloc(CHUNK_BYTES, `weights ${version} ${index};`);
}

/** Starts a sound origin of weights. */
export async function startOrigin(host, port) {
  const server = createServer((request, response) => {
    const url = new URL(request.url ?? '/', 'http://origin');
    const version = Number(url.searchParams.get('version') ?? 1);
    const [, , call, model] = url.pathname.split('/');
    if (call === 'manifest') {
      const digests = Array.from({ length: CHUNKS }, (_value, index) =>
        createHash('sha256').update(piece(version, index)).digest('hex'),
      );
      response.writeHead(200, { 'Content-Type': 'application/json' });
      response.end(
        JSON.stringify({ model, version, chunk_bytes: CHUNK_BYTES, layers: LAYERS, digests }),
      );
    } else if (call === 'piece') {
      response.writeHead(200);
      response.end(piece(version, Number(url.searchParams.get('chunk_count'))));
    } else {
      response.writeHead(404);
      response.end();
    }
  });
  await new Promise((resolve) => {
    server.listen(port, host, resolve);
  });
  return {
    close: async () => {
      server.closeAllConnections();
      await new Promise((resolve) => {
        server.close(resolve);
      });
    },
  };
}
