import { Agent, request as httpRequest } from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';

/** Lines of a head, as alternating names and values; a list of values gives a line for each. */
function headerLines(address, headers, body) {
  const named = {
    ...(headers.Host === undefined ? { Host: address } : {}),
    ...headers,
    ...(body === undefined ? {} : { 'Content-Length': String(body.length) }),
  };
  return Object.entries(named).flatMap(([name, value]) =>
    [value].flat().flatMap((text) => [name, text]),
  );
}

/**
 * Sends one HTTP request on a new connection; resolves with the answer or with why there is none.
 *
 * @param options.headers - values by name; a list is sent as several lines.
 */
export async function send({ address, method = 'GET', path, headers = {}, body, timeout = 1000 }) {
  const separator = address.lastIndexOf(':');
  return new Promise((resolve) => {
    const agent = new Agent({ keepAlive: false });
    let timer;
    const settle = (result) => {
      clearTimeout(timer);
      agent.destroy();
      resolve(result);
    };
    const outgoing = httpRequest(
      {
        host: address.slice(0, separator),
        port: Number(address.slice(separator + 1)),
        method,
        path,
        headers: headerLines(address, headers, body),
        agent,
      },
      (response) => {
        const parts = [];
        const result = (isComplete) => ({
          status: response.statusCode,
          headers: response.headers,
          body: String(parts.length === 0 ? '' : parts.join('')),
          isComplete,
        });
        response.setEncoding('latin1');
        response.on('data', (part) => parts.push(part));
        response.once('end', () => settle(result(response.complete)));
        response.once('error', () => settle(result(false)));
      },
    );
    timer = setTimeout(() => outgoing.destroy(new Error('timeout')), timeout);
    outgoing.once('error', (error) =>
      settle({ status: 0, headers: {}, body: '', isComplete: false, error: error.message }),
    );
    outgoing.end(body);
  });
}
