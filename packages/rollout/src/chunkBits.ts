const BITS_PER_BYTE = 8;

/** Packs chunk indices into a bitmap, least significant bit of the first byte first. */
export function packChunks(chunks: ReadonlySet<number>, count: number): Uint8Array {
  const bits = new Uint8Array(Math.ceil(count / BITS_PER_BYTE));
  for (const chunk of chunks) {
    const byte = Math.floor(chunk / BITS_PER_BYTE);
    bits[byte] = (bits[byte] ?? 0) | (1 << (chunk % BITS_PER_BYTE));
  }
  return bits;
}

/** Chunk indices that are set in a bitmap made by {@link packChunks}. */
export function unpackChunks(bits: Uint8Array): ReadonlySet<number> {
  const chunks = new Set<number>();
  bits.forEach((byte, byteIndex) => {
    for (let bit = 0; bit < BITS_PER_BYTE; bit += 1) {
      if ((byte & (1 << bit)) !== 0) chunks.add(byteIndex * BITS_PER_BYTE + bit);
    }
  });
  return chunks;
}
