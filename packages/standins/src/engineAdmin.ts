import { setTimeout as delay } from 'node:timers/promises';
import type { EngineState } from './engineState.js';
import type { EngineOrder } from './engineWeights.js';
import { readBody, readJson, sendJson, type StandinExchange } from './standinServer.js';

/** HTTP handlers of load orders and weight chunks. */
export interface EngineAdmin {
  readonly putChunk: (exchange: StandinExchange) => Promise<void>;
  readonly getChunk: (exchange: StandinExchange) => void;
  readonly deleteWeights: (exchange: StandinExchange) => void;
  readonly order: (exchange: StandinExchange) => Promise<void>;
}

/** Creates the handlers; orders are executed one after the other. */
export function createEngineAdmin(state: EngineState): EngineAdmin {
  let lastOrder: Promise<unknown> = Promise.resolve();

  const isStale = (order: EngineOrder): boolean => {
    if (!state.settings.checksFencing) return false;
    if (order.fencing < state.highestFencing) return true;
    state.highestFencing = order.fencing;
    return false;
  };

  const loadWeights = async (order: EngineOrder): Promise<string> => {
    if (!state.settings.swapsWhileRunning) await state.batch.pause();
    try {
      await delay(state.settings.loadMilliseconds);
      const digest = state.weights.load(order);
      state.counts.loadedAt[digest] ??= Date.now();
      return digest;
    } finally {
      state.batch.resume();
    }
  };

  const executeByKind: Readonly<
    Record<EngineOrder['kind'], (order: EngineOrder) => Promise<string | null>>
  > = {
    load: loadWeights,
    version: loadWeights,
    adapter: async (order) => Promise.resolve(state.weights.addAdapter(order)),
    role: async () => Promise.resolve(state.weights.digest),
  };

  const executeOrder = async (order: EngineOrder, exchange: StandinExchange): Promise<void> => {
    const { response } = exchange;
    const lateFault = state.faults.consume('order-late');
    if (lateFault !== undefined) await delay(lateFault.milliseconds);
    if (state.faults.consume('order-refused') !== undefined) {
      sendJson(response, 500, { error: 'fault' });
      return;
    }
    if (isStale(order)) {
      state.counts.staleOrdersRefused += 1;
      sendJson(response, 409, { error: 'stale-fencing', highest: state.highestFencing });
      return;
    }
    const { kind, digest, fencing } = order;
    state.counts.orders.push({ kind, digest, fencing });
    sendJson(response, 200, { state: 'loaded', digest: await executeByKind[kind](order) });
  };

  return {
    putChunk: async ({ request, response, parameters: [digest = '', index = ''] }) => {
      const bytes = await readBody(request);
      state.counts.chunkBytesReceived += bytes.length;
      state.weights.stage(digest, Number(index), bytes);
      sendJson(response, 200, {});
    },
    getChunk: ({ response, parameters: [digest = '', index = ''] }) => {
      const bytes = state.weights.stagedChunk(digest, Number(index));
      if (bytes === undefined) {
        sendJson(response, 404, { error: 'no-such-chunk' });
        return;
      }
      const sent = Buffer.from(bytes);
      if (state.faults.consume('corrupt-chunk') !== undefined) sent[0] = (sent[0] ?? 0) ^ 1;
      response.writeHead(200, {
        'content-type': 'application/octet-stream',
        'content-length': sent.length,
      });
      response.end(sent);
    },
    deleteWeights: ({ response, parameters: [digest = ''] }) => {
      state.weights.remove(digest);
      sendJson(response, 200, {});
    },
    order: async (exchange) => {
      const order = (await readJson(exchange.request)) as EngineOrder;
      const previousOrder = lastOrder;
      const currentOrder = previousOrder.then(async () => executeOrder(order, exchange));
      lastOrder = currentOrder.catch(() => undefined);
      await currentOrder;
    },
  };
}
