const TABLE_SIZE = 256;
const BITS_PER_BYTE = 8;
/** Reflected polynomial of CRC-32 (ISO 3309). */
const POLYNOMIAL = 0xedb88320;
const ALL_ONES = 0xffffffff;

function tableEntry(byte: number): number {
  let value = byte;
  for (let bit = 0; bit < BITS_PER_BYTE; bit += 1) {
    value = (value & 1) === 1 ? (value >>> 1) ^ POLYNOMIAL : value >>> 1;
  }
  return value >>> 0;
}

const table = Uint32Array.from({ length: TABLE_SIZE }, (_unused, byte) => tableEntry(byte));

/** CRC-32 of bytes as an unsigned number. */
export function checksumOf(bytes: Uint8Array): number {
  let value = ALL_ONES;
  for (const byte of bytes) {
    value = (value >>> BITS_PER_BYTE) ^ (table[(value ^ byte) & 0xff] ?? 0);
  }
  return (value ^ ALL_ONES) >>> 0;
}
