import { crc32 } from 'node:zlib';
import { ResultError } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { decodeBody, encodeBody } from '@burdockrail/transport/frameCodec.js';

/** Size of a header field; the fields are body length, checksum of the length, body checksum. */
const UINT32_BYTES = 4;
const HEADER_BYTES = 3 * UINT32_BYTES;

/** Encodes the payloads that one sync makes durable: a header and a CBOR array of byte strings. */
export function encodeBatch(payloads: readonly Uint8Array[]): Buffer {
  const body = encodeBody(payloads);
  const batch = Buffer.allocUnsafe(HEADER_BYTES + body.length);
  batch.writeUInt32BE(body.length, 0);
  batch.writeUInt32BE(crc32(batch.subarray(0, UINT32_BYTES)), UINT32_BYTES);
  batch.writeUInt32BE(crc32(body), 2 * UINT32_BYTES);
  body.copy(batch, HEADER_BYTES);
  return batch;
}

/** Offset after the batch at `offset`; `null` if the batch is incomplete or fails a checksum. */
function findBatchEnd(file: Buffer, offset: number): number | null {
  if (offset + HEADER_BYTES > file.length) return null;
  const length = file.readUInt32BE(offset);
  const lengthChecksum = crc32(file.subarray(offset, offset + UINT32_BYTES));
  if (lengthChecksum !== file.readUInt32BE(offset + UINT32_BYTES)) return null;
  const end = offset + HEADER_BYTES + length;
  if (end > file.length) return null;
  const body = file.subarray(offset + HEADER_BYTES, end);
  return crc32(body) === file.readUInt32BE(offset + 2 * UINT32_BYTES) ? end : null;
}

function hasValidBatchAfter(file: Buffer, offset: number): boolean {
  for (let next = offset + 1; next + HEADER_BYTES <= file.length; next += 1) {
    if (findBatchEnd(file, next) !== null) return true;
  }
  return false;
}

/** Decoded content of a file of batches. */
export interface DecodedBatches {
  readonly payloads: readonly Uint8Array[];
  /** Length of the valid prefix; bytes after it belong to a batch whose sync never completed. */
  readonly validBytes: number;
}

/**
 * Decodes the batches of a file.
 *
 * @remarks
 * Each batch is written in one call, and the next one only after the sync of the previous one. An
 * invalid batch without a valid one after it was therefore never acknowledged and is skipped.
 *
 * @throws {@link ResultError} with `StorageCorrupt` if a valid batch follows an invalid one, which
 * means that synced data was damaged.
 */
export function decodeBatches(file: Buffer): DecodedBatches {
  const payloads: Uint8Array[] = [];
  let offset = 0;
  while (offset < file.length) {
    const end = findBatchEnd(file, offset);
    if (end === null) break;
    payloads.push(...(decodeBody(file.subarray(offset + HEADER_BYTES, end)) as Uint8Array[]));
    offset = end;
  }
  if (offset < file.length && hasValidBatchAfter(file, offset)) {
    throw new ResultError(
      ResultCode.StorageCorrupt,
      `invalid batch at byte ${offset}, before a valid one`,
    );
  }
  return { payloads, validBytes: offset };
}
