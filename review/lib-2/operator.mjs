import { setTimeout as pause } from 'node:timers/promises';
import { call } from './http.mjs';

/** Answers that end a call of the operator at once. */
const FINAL_STATUSES = new Set([400, 409, 412, 413, 422]);

/** An operator, who sends each order until it is acknowledged, to one control address after another. */
export function createOperator(record, addresses) {
  let next = 0;
  const send = async (method, path, body) => {
    const all = addresses();
    const address = all[next % all.length];
    next += 1;
    const answer = await call({
      address,
      method,
      path,
      headers: { 'content-type': 'application/json', connection: 'close' },
      body,
      timeoutMilliseconds: 1000,
    });
    return { address, ...answer };
  };

  const repeat = async (what, method, path, body, forMilliseconds, isDone) => {
    const endsAt = Date.now() + forMilliseconds;
    let delay = 100;
    let tries = 0;
    let last = '';
    while (Date.now() < endsAt) {
      const answer = await send(method, path, body);
      tries += 1;
      last = `${answer.address} ${answer.status ?? answer.error}`;
      if (answer.status !== undefined && isDone(answer)) {
        record.line(`operator: ${what}: ${last} after ${tries} calls`);
        return answer;
      }
      if (FINAL_STATUSES.has(answer.status)) break;
      await pause(delay);
      delay = Math.min(500, delay * 1.5);
    }
    record.line(`operator: ${what}: no acknowledgement in ${tries} calls, the last ${last}`);
    return null;
  };

  return {
    /** Sends a configuration; resolves to whether it was acknowledged. */
    configure: async (configuration, forMilliseconds) => {
      const body = JSON.stringify(configuration);
      const what = `configuration ${configuration.version}`;
      const isDone = ({ status }) => status === 200;
      const path = '/burdockrail/config';
      return (await repeat(what, 'PUT', path, body, forMilliseconds, isDone)) !== null;
    },
    /** Reads the configuration; resolves to `null` if it does not come. */
    read: async (forMilliseconds) => {
      const isDone = ({ status }) => status === 200;
      const path = '/burdockrail/config';
      const answer = await repeat('read', 'GET', path, undefined, forMilliseconds, isDone);
      return answer === null ? null : JSON.parse(answer.body.toString());
    },
  };
}
