import { setTimeout as delay } from 'node:timers/promises';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import type { TimeSource } from '@burdockrail/common/timeSource.js';
import type {
  ChunkReply,
  ChunkRequest,
  ChunksHeld,
} from '@burdockrail/protocol/protocolWeights.js';
import type { Pacer } from '@burdockrail/rollout/rolloutPacer.js';
import type { PeerHandlers, StreamSink } from '@burdockrail/transport/peerHandlers.js';
import type { ChunkStore } from './weightsStore.js';

/** Uploads that may wait or run at the same time. */
const MAXIMUM_UPLOADS = 32;

/** Time for which changes are gathered before a watching peer is told, in milliseconds. */
const GATHER_MILLISECONDS = 25;

/** Creates the answers to other agents about the chunks in a store. */
export function createWeightsUploads(
  store: ChunkStore,
  pacer: Pacer,
  time: TimeSource,
): Partial<PeerHandlers> {
  let uploads = 0;

  const read = async (request: ChunkRequest): Promise<Buffer> => {
    const bytes = await store.read(request.chunk);
    if (bytes === null) throw new ResultError(ResultCode.ChunkNotHeld);
    return bytes;
  };

  const upload = async (request: ChunkRequest, signal: AbortSignal): Promise<ChunkReply> => {
    const bytes = await read(request);
    const queuedBytes = pacer.queuedBytes(time.now());
    const wait = pacer.reserve(bytes.length, time.now());
    if (wait > 0) await delay(wait, undefined, { signal });
    return { bytes, queuedBytes };
  };

  const chunk = async (request: ChunkRequest, signal: AbortSignal): Promise<ChunkReply> => {
    if (uploads >= MAXIMUM_UPLOADS) throw new ResultError(ResultCode.UploadsBusy);
    uploads += 1;
    try {
      return await upload(request, signal);
    } finally {
      uploads -= 1;
    }
  };

  const watch = async (
    digest: string,
    sink: StreamSink<ChunksHeld>,
    signal: AbortSignal,
  ): Promise<void> => {
    let gathered: number[] = [];
    let wake: () => void = () => undefined;
    const release = store.watch(digest, (indices) => {
      gathered.push(...indices);
      wake();
    });
    signal.addEventListener('abort', () => {
      wake();
    });
    try {
      while (!signal.aborted) {
        if (gathered.length > 0) {
          const indices = gathered;
          gathered = [];
          await sink.write({ indices });
        }
        await new Promise<void>((resolve) => {
          wake = resolve;
          if (gathered.length > 0) resolve();
        });
        await delay(GATHER_MILLISECONDS);
      }
    } finally {
      release();
    }
  };

  return {
    calls: {
      'weights.chunk': async (request, context) => chunk(request, context.signal),
      'weights.manifest': async (request) =>
        Promise.resolve(store.manifest(request.digest) ?? null),
    },
    streams: {
      'weights.watch': async (request, sink, context) =>
        watch(request.digest, sink, context.signal),
    },
  };
}
