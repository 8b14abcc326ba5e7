import type { DisposalStack } from '@burdockrail/common/disposalStack.js';
import type { EntryContext } from '../src/entryContext.js';
import type { EntryRequest } from '../src/entryRequest.js';
import { startEntryServer, type EntryServer } from '../src/entryServer.js';
import { createEntrySlots, type EntrySlots } from '../src/entrySlots.js';
import type { EntrySettings } from '../src/gatewaySettings.js';
import { findFreePort } from './freePort.js';

const HOST = '127.0.0.1';

/** Time that a played request has, in milliseconds. */
const REQUEST_MILLISECONDS = 10_000;

/** Parts of a played request that tests choose; the others have usual values. */
export interface PlayedRequest {
  readonly id: string;
  readonly route: object;
  readonly answer?: object;
  readonly signal?: AbortSignal;
  readonly method?: string;
  readonly headers?: readonly string[];
  readonly body?: Buffer;
}

/** A request of an open route, as an entry has admitted it. */
export function createPlayedRequest({ id, route, ...chosen }: PlayedRequest): EntryRequest {
  return {
    id,
    method: 'GET',
    target: '/',
    headers: [],
    body: null,
    caller: { model: 'm', promptTokens: 1, sharedParts: [] },
    traits: { content: 'c', parts: ['p'] },
    arrivedAt: performance.now(),
    elapsedMilliseconds: 0,
    signal: new AbortController().signal,
    trace: {
      attempts: 0,
      upstreams: [],
      firstByteMilliseconds: null,
      longestPauseMilliseconds: 0,
      cause: '',
    },
    admitted: {
      service: 's',
      team: null,
      deadline: performance.now() + REQUEST_MILLISECONDS,
      route,
    },
    ...chosen,
  } as unknown as EntryRequest;
}

/** A started server of an entry. */
export interface ListeningEntry {
  readonly port: number;
  readonly server: EntryServer;
}

/** Starts the server of an entry at a free port of this machine. */
export async function startAtFreePort(
  disposables: DisposalStack,
  entry: EntryContext,
  slots: EntrySlots,
): Promise<ListeningEntry> {
  const port = await findFreePort(HOST);
  const settings = { listen: { host: HOST, port } } as unknown as EntrySettings;
  return { port, server: disposables.use(await startEntryServer(entry, settings, slots)) };
}

/** Starts the server of an entry at a free port of this machine, which it returns. */
export async function listenAtFreePort(
  disposables: DisposalStack,
  entry: EntryContext,
  agentPort: number,
): Promise<number> {
  const slots = createEntrySlots(entry, agentPort);
  return (await startAtFreePort(disposables, entry, slots)).port;
}
