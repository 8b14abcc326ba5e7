import { crc32 } from 'node:zlib';
import { ResultError } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { decodeBody, encodeBody } from '@burdockrail/transport/frameCodec.js';

/** Length of the body, checksum of the length field, checksum of the body. */
const FIELD_BYTES = 4;
const HEADER_BYTES = 3 * FIELD_BYTES;

/** Encodes what one sync makes durable as a header and a CBOR array of byte strings. */
export function encodeBatch(parts: readonly Uint8Array[]): Buffer {
  const body = encodeBody(parts);
  const batch = Buffer.allocUnsafe(HEADER_BYTES + body.length);
  batch.writeUInt32BE(body.length, 0);
  batch.writeUInt32BE(crc32(batch.subarray(0, FIELD_BYTES)), FIELD_BYTES);
  batch.writeUInt32BE(crc32(body), 2 * FIELD_BYTES);
  body.copy(batch, HEADER_BYTES);
  return batch;
}

/** End of the batch at an offset, or `null` if there is no whole and sound batch. */
function batchEnd(file: Buffer, offset: number): number | null {
  if (offset + HEADER_BYTES > file.length) return null;
  const length = file.readUInt32BE(offset);
  const lengthChecksum = crc32(file.subarray(offset, offset + FIELD_BYTES));
  if (lengthChecksum !== file.readUInt32BE(offset + FIELD_BYTES)) return null;
  const end = offset + HEADER_BYTES + length;
  if (end > file.length) return null;
  const body = file.subarray(offset + HEADER_BYTES, end);
  return crc32(body) === file.readUInt32BE(offset + 2 * FIELD_BYTES) ? end : null;
}

function hasBatchAfter(file: Buffer, offset: number): boolean {
  for (let next = offset + 1; next + HEADER_BYTES <= file.length; next += 1) {
    if (batchEnd(file, next) !== null) return true;
  }
  return false;
}

/** Batches of a log file. */
export interface BatchFile {
  readonly parts: readonly Uint8Array[];
  /** Length of the sound part; bytes after it are a batch that was never synced. */
  readonly soundBytes: number;
}

/**
 * Reads the batches of a log file.
 *
 * @remarks
 * A batch is written at once and the next only after it was synced. So an unsound batch with
 * nothing sound after it was never acknowledged and is left out; one with a sound batch after it
 * was damaged later, which throws a {@link ResultError} with `StorageCorrupt`.
 */
export function readBatches(file: Buffer): BatchFile {
  const parts: Uint8Array[] = [];
  let offset = 0;
  while (offset < file.length) {
    const end = batchEnd(file, offset);
    if (end === null) break;
    parts.push(...(decodeBody(file.subarray(offset + HEADER_BYTES, end)) as Uint8Array[]));
    offset = end;
  }
  if (offset < file.length && hasBatchAfter(file, offset)) {
    throw new ResultError(ResultCode.StorageCorrupt, `unsound batch at byte ${offset}`);
  }
  return { parts, soundBytes: offset };
}
