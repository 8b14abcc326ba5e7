import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import type { Digest } from '@burdockrail/common/digest.js';
import type { Address } from '@burdockrail/protocol/protocolAddress.js';
import type { ChunkReply, WeightManifest } from '@burdockrail/protocol/protocolWeights.js';
import { createPeerClient, type PeerClient } from '@burdockrail/transport/peerClient.js';
import type { DaemonContext } from './daemonRole.js';

/** Bound on the transfer of one chunk, in milliseconds. */
const CHUNK_TIMEOUT_MILLISECONDS = 10_000;

/** Bound on the transfer of a manifest, in milliseconds. */
const MANIFEST_TIMEOUT_MILLISECONDS = 2_000;

/** Calls to other agents about weights. */
export interface WeightsPeers extends AsyncDisposable {
  /** Fetches a chunk, unverified. */
  chunk(address: Address, chunk: Digest, signal: AbortSignal): Promise<ChunkReply>;
  /** Fetches a manifest, unverified; null when the peer does not know it. */
  manifest(address: Address, digest: Digest): Promise<WeightManifest | null>;
  /** Follows which chunks of a version a peer holds; ends when the connection does. */
  watch(
    address: Address,
    digest: Digest,
    signal: AbortSignal,
    held: (indices: readonly number[]) => void,
  ): Promise<void>;
}

/**
 * Creates the calls of one agent.
 *
 * @remarks
 * Chunks travel on connections of their own, so that a short message never waits behind them.
 */
export function createWeightsPeers(context: DaemonContext): WeightsPeers {
  const bulk: PeerClient = createPeerClient({
    identity: context.identity,
    localHost: context.settings.listen.host,
  });
  return {
    chunk: async (address, chunk, signal) => {
      const timeoutMilliseconds = CHUNK_TIMEOUT_MILLISECONDS;
      const call = { chunk };
      return bulk
        .connectionTo(address)
        .call('weights.chunk', call, { timeoutMilliseconds, signal });
    },
    manifest: async (address, digest) => {
      const timeoutMilliseconds = MANIFEST_TIMEOUT_MILLISECONDS;
      const connection = context.client.connectionTo(address);
      return connection.call('weights.manifest', { digest }, { timeoutMilliseconds });
    },
    watch: async (address, digest, signal, held) => {
      const connection = context.client.connectionTo(address);
      for await (const item of connection.stream('weights.watch', { digest }, { signal })) {
        held(item.indices);
      }
      throw new ResultError(ResultCode.ConnectionLost, 'the watch ended');
    },
    [Symbol.asyncDispose]: async () => bulk[Symbol.asyncDispose](),
  };
}
