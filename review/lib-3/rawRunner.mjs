import { createServer } from 'node:net';
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';
import { startReports } from './runner.mjs';

const WORK_MILLISECONDS = 20;
const HEAD_END = '\r\n\r\n';

function parseHead(text) {
  const [requestLine = '', ...lines] = text.split('\r\n');
  const headers = Object.fromEntries(
    lines.map((line) => [
      line.slice(0, line.indexOf(':')).toLowerCase(),
      line.slice(line.indexOf(':') + 1).trim(),
    ]),
  );
  return { requestLine, headers };
}

/** Writes an answer with a length. */
export function formatAnswer(status, headers, body = '') {
  const lines = Object.entries({ ...headers, 'Content-Length': body.length }).map(
    ([name, value]) => `${name}: ${value}\r\n`,
  );
  return `HTTP/1.1 ${status}\r\n${lines.join('')}\r\n${body}`;
}

/**
 * Starts a plain runner that writes its answers byte by byte as told; it serves one request at a
 * time on a channel.
 *
 * @param options.answer - called for each request meant for this runner, with the channel's state;
 * returns the bytes to write at once, and those to write after the work.
 */
export async function startRawRunner({ id, service, host, port, controls, onArrival, answer }) {
  const born = Date.now();
  const sockets = new Set();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
    socket.on('error', () => undefined);
    const channel = {};
    let input = '';
    const take = () => {
      const end = input.indexOf(HEAD_END);
      if (end < 0) return;
      const { headers } = parseHead(input.slice(0, end));
      const length = Number(headers['content-length'] ?? 0);
      if (input.length < end + HEAD_END.length + length) return;
      input = input.slice(end + HEAD_END.length + length);
      const requestId = headers['attempt-id'];
      const identity = { 'Attempt-Id': requestId, 'Instance-Id': id };
      if (headers['expect-instance'] !== undefined && headers['expect-instance'] !== id) {
        socket.write(formatAnswer('421 Misdirected Request', { ...identity, 'Not-Executed': '1' }));
        return;
      }
      const { early = '', late, runs } = answer({ requestId, channel, identity });
      onArrival?.({ requestId, runner: id, born, at: performance.now(), status: runs ? 200 : 503 });
      if (early !== '') socket.write(early);
      setTimeout(
        () => {
          if (!socket.destroyed) socket.write(late);
        },
        runs ? WORK_MILLISECONDS : 0,
      );
    };
    socket.on('data', (bytes) => {
      input += bytes.toString('latin1');
      take();
    });
  });
  await new Promise((resolve) => {
    server.listen(port, host, resolve);
  });
  const reports = startReports({
    id,
    service,
    address: `${host}:${port}`,
    controls,
    fields: () => ({ state: 'ready', born }),
  });
  return {
    id,
    born,
    reports,
    crash: async () => {
      const closed = new Promise((resolve) => {
        server.close(resolve);
      });
      for (const socket of sockets) socket.destroy();
      await closed;
      await reports.stop();
    },
  };
}
