import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import type { Digest } from '@burdockrail/common/digest.js';
import type { Address } from '@burdockrail/protocol/protocolAddress.js';
import type { ChunkReply, WeightManifest } from '@burdockrail/protocol/protocolWeights.js';
import { createPeerClient, type PeerClient } from '@burdockrail/transport/peerClient.js';
import type { DaemonContext } from './daemonRole.js';

/** Timeout of the transfer of one chunk, in milliseconds. */
const CHUNK_TIMEOUT_MILLISECONDS = 10_000;

/** Timeout of the transfer of a manifest, in milliseconds. */
const MANIFEST_TIMEOUT_MILLISECONDS = 2_000;

/** Client for the weights of other agents. */
export interface WeightsPeers extends AsyncDisposable {
  /** Fetches a chunk without verifying it. */
  fetchChunk(address: Address, chunk: Digest, signal: AbortSignal): Promise<ChunkReply>;
  /** Fetches a manifest without verifying it; null if the peer does not know it. */
  fetchManifest(address: Address, digest: Digest): Promise<WeightManifest | null>;
  /** Watches which chunks of a version a peer holds; rejects when the stream ends. */
  watchHeldChunks(
    address: Address,
    digest: Digest,
    signal: AbortSignal,
    onHeld: (indices: readonly number[]) => void,
  ): Promise<void>;
}

/**
 * Creates the client of one agent.
 *
 * @remarks
 * Chunks use separate connections, so that short messages are not queued behind them.
 */
export function createWeightsPeers(context: DaemonContext): WeightsPeers {
  const chunkClient: PeerClient = createPeerClient({
    identity: context.identity,
    localHost: context.settings.listen.host,
  });
  return {
    fetchChunk: async (address, chunk, signal) => {
      const timeoutMilliseconds = CHUNK_TIMEOUT_MILLISECONDS;
      const request = { chunk };
      return chunkClient
        .connectionTo(address)
        .call('weights.chunk', request, { timeoutMilliseconds, signal });
    },
    fetchManifest: async (address, digest) => {
      const timeoutMilliseconds = MANIFEST_TIMEOUT_MILLISECONDS;
      const connection = context.client.connectionTo(address);
      return connection.call('weights.manifest', { digest }, { timeoutMilliseconds });
    },
    watchHeldChunks: async (address, digest, signal, onHeld) => {
      const connection = context.client.connectionTo(address);
      for await (const item of connection.stream('weights.watch', { digest }, { signal })) {
        onHeld(item.indices);
      }
      throw new ResultError(ResultCode.ConnectionLost, 'the stream of held chunks ended');
    },
    [Symbol.asyncDispose]: async () => chunkClient[Symbol.asyncDispose](),
  };
}
