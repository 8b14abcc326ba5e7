// Requesters and operators: HTTP calls on kept or new channels.
import { Buffer } from 'node:buffer';
import { randomBytes } from 'node:crypto';
import { Agent, request } from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';
import { setTimeout as pause } from 'node:timers/promises';
import { performance } from 'node:perf_hooks';

export const createId = () => randomBytes(8).toString('hex');

/** Sends one call; resolves with what was seen, also of a broken answer. */
export async function call(
  address,
  { method = 'GET', path = '/', headers = {}, body, agent, timeout = 2000, onSocket },
) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const startedAt = performance.now();
    const parts = [];
    let status = 0;
    let answerHeaders = {};
    let isComplete = false;
    let isSettled = false;
    let failure = '';
    const settle = () => {
      if (isSettled) return;
      isSettled = true;
      clearTimeout(timer);
      resolve({
        status,
        headers: answerHeaders,
        body: Buffer.concat(parts),
        isComplete,
        failure,
        startedAt,
        endedAt: performance.now(),
      });
    };
    const outgoing = request({ host, port, method, path, headers, agent: agent ?? new Agent() });
    const timer = setTimeout(() => {
      failure = 'given up';
      outgoing.destroy();
      settle();
    }, timeout);
    if (onSocket !== undefined) outgoing.on('socket', onSocket);
    outgoing.on('response', (response) => {
      status = response.statusCode;
      answerHeaders = response.headers;
      response.on('data', (bytes) => parts.push(bytes));
      response.on('error', (error) => {
        failure = String(error.message);
      });
      response.on('close', () => {
        isComplete = response.complete;
        settle();
      });
    });
    outgoing.on('error', (error) => {
      failure = String(error.message);
      if (status === 0) settle();
    });
    outgoing.end(body);
  });
}

/** Sends an order of the operator to one control process after the other until it is acknowledged. */
export async function order(controls, options, seconds = 20) {
  const deadline = performance.now() + seconds * 1000;
  for (let index = 0; performance.now() < deadline; index += 1) {
    const answer = await call(controls[index % controls.length], { ...options, timeout: 1000 });
    if (answer.status === 200) return answer;
    if (answer.status >= 400 && answer.status < 500)
      throw new Error(`order refused: ${answer.status} ${answer.body}`);
    await pause(100);
  }
  throw new Error('the order was not acknowledged');
}

export async function putConfig(controls, config) {
  return order(controls, {
    method: 'PUT',
    path: '/burdockrail/config',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(config),
  });
}
