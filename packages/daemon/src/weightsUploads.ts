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

/** Maximum number of waiting and running uploads. */
const MAXIMUM_UPLOADS = 32;

/** Time for which newly held chunks are collected before a watcher is updated, in milliseconds. */
const UPDATE_BATCH_MILLISECONDS = 25;

/** Creates the handlers that serve a store's chunks and manifests to other agents. */
export function createWeightsUploads(
  store: ChunkStore,
  pacer: Pacer,
  time: TimeSource,
): Partial<PeerHandlers> {
  let activeUploads = 0;

  const read = async (request: ChunkRequest): Promise<Buffer> => {
    const bytes = await store.read(request.chunk);
    if (bytes === null) throw new ResultError(ResultCode.ChunkNotHeld);
    return bytes;
  };

  const upload = async (request: ChunkRequest, signal: AbortSignal): Promise<ChunkReply> => {
    const bytes = await read(request);
    const queuedBytes = pacer.queuedBytes(time.now());
    const delayMilliseconds = pacer.reserve(bytes.length, time.now());
    if (delayMilliseconds > 0) await delay(delayMilliseconds, undefined, { signal });
    return { bytes, queuedBytes };
  };

  const serveChunk = async (request: ChunkRequest, signal: AbortSignal): Promise<ChunkReply> => {
    if (activeUploads >= MAXIMUM_UPLOADS) throw new ResultError(ResultCode.UploadsBusy);
    activeUploads += 1;
    try {
      return await upload(request, signal);
    } finally {
      activeUploads -= 1;
    }
  };

  const streamHeldChunks = async (
    digest: string,
    sink: StreamSink<ChunksHeld>,
    signal: AbortSignal,
  ): Promise<void> => {
    let pendingIndices: number[] = [];
    let wake: () => void = () => undefined;
    const unsubscribe = store.watch(digest, (indices) => {
      pendingIndices.push(...indices);
      wake();
    });
    signal.addEventListener('abort', () => {
      wake();
    });
    try {
      while (!signal.aborted) {
        if (pendingIndices.length > 0) {
          const indices = pendingIndices;
          pendingIndices = [];
          await sink.write({ indices });
        }
        await new Promise<void>((resolve) => {
          wake = resolve;
          if (pendingIndices.length > 0) resolve();
        });
        await delay(UPDATE_BATCH_MILLISECONDS);
      }
    } finally {
      unsubscribe();
    }
  };

  return {
    calls: {
      'weights.chunk': async (request, context) => serveChunk(request, context.signal),
      'weights.manifest': async (request) =>
        Promise.resolve(store.manifest(request.digest) ?? null),
    },
    streams: {
      'weights.watch': async (request, sink, context) =>
        streamHeldChunks(request.digest, sink, context.signal),
    },
  };
}
