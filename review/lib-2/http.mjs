import { Buffer } from 'node:buffer';
import { request as httpRequest } from 'node:http';

/**
 * Sends one request and reads its answer to the end.
 *
 * @returns status, headers and body; an `error` instead if no complete answer came.
 */
export async function call({ address, method, path, headers, body, agent, timeoutMilliseconds }) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const outgoing = httpRequest(
      { host, port, method, path, headers, agent, timeout: timeoutMilliseconds },
      (response) => {
        const parts = [];
        response.on('data', (part) => parts.push(part));
        response.on('end', () => {
          resolve({
            status: response.statusCode,
            headers: response.headers,
            body: Buffer.concat(parts),
          });
        });
        response.on('error', (error) => resolve({ error: error.code ?? String(error) }));
      },
    );
    outgoing.on('timeout', () => outgoing.destroy(new Error('no answer in time')));
    outgoing.on('error', (error) => resolve({ error: error.code ?? error.message }));
    outgoing.end(body);
  });
}
