import type { ByteBudget } from './byteBudget.js';

/** Size of the first block, in bytes: most bodies and events fit. */
const FIRST_BLOCK_BYTES = 1024;

/** Size up to which blocks double, in bytes; what one read of a socket brings. */
const LARGEST_BLOCK_BYTES = 64 * 1024;

/** Gathers bytes that arrive in parts. */
export interface ByteCollector {
  /** Number of bytes held. */
  readonly size: number;
  /** Copies a part; false, and nothing held from then on, once a limit is exceeded. */
  add(bytes: Uint8Array): boolean;
  /** Returns the bytes held and begins anew. */
  take(): Buffer;
  /** Drops the bytes held; nothing is held from then on. */
  close(): void;
}

/** Limits of a {@link ByteCollector}. */
export interface ByteCollectorLimits {
  readonly maximumBytes: number;
  /** Memory that several collectors share; unlimited if it is missing. */
  readonly budget?: ByteBudget;
}

/**
 * Creates an empty collector.
 *
 * @remarks
 * Parts are copied into blocks. A part that is kept as it is costs an object of its own and pins the
 * whole buffer of its socket read, so that a body in parts of one byte takes a hundred times its
 * size. Blocks cost at most twice the bytes held, and each byte is copied at most twice, however the
 * bytes are cut.
 */
export function createByteCollector({ maximumBytes, budget }: ByteCollectorLimits): ByteCollector {
  let blocks: Buffer[] = [];
  /** Bytes used of the last block. */
  let usedBytes = 0;
  let size = 0;
  let capacity = 0;
  let isClosed = false;

  const allocate = (neededBytes: number): boolean => {
    const last = blocks.at(-1);
    const doubled = last === undefined ? FIRST_BLOCK_BYTES : last.length * 2;
    const blockBytes = Math.min(
      Math.max(neededBytes, Math.min(doubled, LARGEST_BLOCK_BYTES)),
      maximumBytes - capacity,
    );
    if (budget !== undefined && !budget.tryReserve(blockBytes)) return false;
    blocks.push(Buffer.allocUnsafeSlow(blockBytes));
    capacity += blockBytes;
    usedBytes = 0;
    return true;
  };
  const clear = (): void => {
    budget?.release(capacity);
    blocks = [];
    usedBytes = 0;
    size = 0;
    capacity = 0;
  };
  const close = (): void => {
    isClosed = true;
    clear();
  };

  return {
    get size() {
      return size;
    },
    add: (bytes) => {
      if (isClosed) return false;
      if (size + bytes.length > maximumBytes) {
        close();
        return false;
      }
      for (let offset = 0; offset < bytes.length;) {
        if (size === capacity && !allocate(bytes.length - offset)) {
          close();
          return false;
        }
        const block = blocks.at(-1);
        if (block === undefined) return false;
        const length = Math.min(bytes.length - offset, block.length - usedBytes);
        block.set(bytes.subarray(offset, offset + length), usedBytes);
        usedBytes += length;
        size += length;
        offset += length;
      }
      return true;
    },
    take: () => {
      const [first] = blocks;
      const taken =
        blocks.length === 1 && first !== undefined
          ? first.subarray(0, size)
          : Buffer.concat(blocks, size);
      clear();
      return taken;
    },
    close,
  };
}
